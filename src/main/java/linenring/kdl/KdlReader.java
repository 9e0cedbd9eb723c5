package linenring.kdl;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Reads KDL 2 (kdl.dev/spec): parses a text and has {@link KdlNodeBuilder} make nodes of the parse tree. */
final class KdlReader {
    /**
     * Limit of children within children. The parser recurses for each level, and a text of open braces alone would end
     * it with a stack overflow. No settings file comes near it.
     */
    private static final int MAX_DEPTH = 64;

    private static final int MAX_QUOTED_CHARS = 40;

    private KdlReader() {}

    static KdlReadResult read(String text) {
        if (depth(text) > MAX_DEPTH) {
            return new KdlReadResult.Invalid(List.of(new KdlError(1, "children are nested deeper than " + MAX_DEPTH)));
        }
        ErrorCollector syntaxErrors = new ErrorCollector();
        KdlParser.DocumentContext document = parse(text, syntaxErrors);
        if (!syntaxErrors.errors.isEmpty()) {
            // only the first: those after it come from the parser's attempts to go on
            return new KdlReadResult.Invalid(List.of(syntaxErrors.errors.get(0)));
        }
        KdlNodeBuilder builder = new KdlNodeBuilder();
        List<KdlNode> nodes = builder.nodes(document.nodes());
        return builder.errors().isEmpty()
                ? new KdlReadResult.Document(nodes)
                : new KdlReadResult.Invalid(builder.errors());
    }

    /** The deepest nesting of braces, counted without parsing: those within quoted text count too. */
    private static int depth(String text) {
        int depth = 0;
        int deepest = 0;
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == '{') {
                depth++;
            } else if (text.charAt(i) == '}') {
                depth--;
            }
            deepest = Math.max(deepest, depth);
        }
        return deepest;
    }

    private static KdlParser.DocumentContext parse(String text, ErrorCollector errors) {
        KdlLexer lexer = new KdlLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errors);
        KdlParser parser = new KdlParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        return parser.document();
    }

    /** Collects syntax errors with messages for whoever writes settings, in place of the parser's own. */
    private static final class ErrorCollector extends BaseErrorListener {
        private final List<KdlError> errors = new ArrayList<>();

        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException cause) {
            String words = symbol instanceof Token token ? describe(token) : "'" + message + "'";
            errors.add(new KdlError(line, words));
        }

        private static String describe(Token token) {
            String text = token.getText();
            String quoted = "'" + shortened(text) + "'";
            return switch (token.getType()) {
                case Token.EOF -> "the file ends before a '}' that is open";
                case KdlLexer.UNQUOTED ->
                    quoted + " is no number; text that begins with a digit stands in quotes: \"" + shortened(text)
                            + "\"";
                case KdlLexer.SEP -> "the line ends too early";
                case KdlLexer.STRAY ->
                    text.equals("\"") ? "a quote is opened and not closed on its line" : quoted + " can't stand here";
                default -> quoted + " can't stand here";
            };
        }

        private static String shortened(String text) {
            return text.length() <= MAX_QUOTED_CHARS ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
        }
    }
}
