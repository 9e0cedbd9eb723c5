package linenring.kdl;

import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Parses KDL 2 text (kdl.dev/spec) and builds its nodes from the parse tree with {@link KdlNodeBuilder}. */
final class KdlReader {
    /**
     * Maximum nesting depth of children. The parser recurses once for each level, so a text of opening braces alone would
     * cause a stack overflow. Settings files are nested far less deeply.
     */
    private static final int MAX_NESTING_DEPTH = 64;

    private static final int MAX_QUOTED_CHARS = 40;

    private KdlReader() {}

    static KdlReadResult read(String text) {
        if (nestingDepth(text) > MAX_NESTING_DEPTH) {
            return new KdlReadResult.Invalid(
                    List.of(new KdlError(1, "children are nested more deeply than the limit of " + MAX_NESTING_DEPTH)));
        }
        ErrorCollector syntaxErrors = new ErrorCollector();
        KdlParser.DocumentContext document = parse(text, syntaxErrors);
        if (!syntaxErrors.errors.isEmpty()) {
            // only the first syntax error is reported: later ones are artifacts of the parser's error recovery
            return new KdlReadResult.Invalid(List.of(syntaxErrors.errors.get(0)));
        }
        KdlNodeBuilder builder = new KdlNodeBuilder();
        List<KdlNode> nodes = builder.buildNodes(document.nodes());
        return builder.errors().isEmpty()
                ? new KdlReadResult.Document(nodes)
                : new KdlReadResult.Invalid(builder.errors());
    }

    /** Returns the deepest nesting of braces, counted without parsing, so braces inside quoted strings count too. */
    private static int nestingDepth(String text) {
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

    /** Collects syntax errors and replaces ANTLR's messages by ones that an author of settings files can understand. */
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
            String description = symbol instanceof Token token ? describe(token) : "'" + message + "'";
            errors.add(new KdlError(line, description));
        }

        private static String describe(Token token) {
            String text = token.getText();
            String quoted = "'" + shorten(text) + "'";
            return switch (token.getType()) {
                case Token.EOF -> "expected a '}' before the end of the file";
                case KdlLexer.UNQUOTED ->
                    quoted + " is not a number; text that begins with a digit must be in quotes: \"" + shorten(text)
                            + "\"";
                case KdlLexer.SEP -> "expected more on this line, found its end";
                case KdlLexer.STRAY ->
                    text.equals("\"") ? "expected a closing quote on the same line" : quoted + " is not allowed here";
                default -> quoted + " is not allowed here";
            };
        }

        private static String shorten(String text) {
            return text.length() <= MAX_QUOTED_CHARS ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
        }
    }
}
