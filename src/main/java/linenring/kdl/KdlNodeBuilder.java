package linenring.kdl;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.tree.TerminalNode;

/** Builds KDL nodes from a parse tree and checks rules that the grammar can't express. Use one builder for each document. */
final class KdlNodeBuilder {
    /** Words that KDL 2 does not allow as bare identifiers; the keywords are written with a leading {@code #}. */
    private static final Set<String> RESERVED_WORDS = Set.of("true", "false", "null", "inf", "-inf", "nan");

    private static final int RADIX_PREFIX_CHARS = 2; // length of 0x, 0o and 0b

    private final List<KdlError> errors = new ArrayList<>();

    /** Returns the errors found so far, ordered by line. */
    List<KdlError> errors() {
        return errors;
    }

    List<KdlNode> buildNodes(KdlParser.NodesContext context) {
        List<KdlNode> nodes = new ArrayList<>();
        for (KdlParser.NodeContext node : context.node()) {
            boolean isCommentedOut = node.SLASHDASH() != null;
            if (!isCommentedOut) {
                nodes.add(buildNode(node));
            }
        }
        return nodes;
    }

    private KdlNode buildNode(KdlParser.NodeContext context) {
        List<KdlNode.Value> arguments = new ArrayList<>();
        Map<String, KdlNode.Value> properties = new LinkedHashMap<>();
        List<KdlNode> children = null; // null until a block of children is found
        for (KdlParser.EntryContext entry : context.entry()) {
            boolean isCommentedOut = entry.SLASHDASH() != null;
            if (isCommentedOut) {
                continue;
            }
            if (entry.children() != null) {
                if (children != null) {
                    addError(entry, "expected at most one block of children, found a second one");
                }
                children = buildNodes(entry.children().nodes());
            } else if (children != null) {
                addError(
                        entry,
                        "expected the end of the node after its children, found '" + entry.getText()
                                + "'; start a new line or move it before the children");
            } else if (entry.property() != null) {
                properties.put(
                        stringContent(entry.property().key),
                        buildValue(entry.property().value()));
            } else {
                arguments.add(buildValue(entry.value()));
            }
        }
        return new KdlNode(
                stringContent(context.name),
                annotationName(context.type()),
                arguments,
                properties,
                children == null ? List.of() : children,
                context.name.getStart().getLine());
    }

    private String annotationName(KdlParser.TypeContext context) {
        return context == null ? null : stringContent(context.text());
    }

    private KdlNode.Value buildValue(KdlParser.ValueContext context) {
        Object content;
        if (context.text() != null) {
            content = stringContent(context.text());
        } else if (context.number() != null) {
            content = numberValue(context.number());
        } else {
            content = keywordValue(context.KEYWORD().getText());
        }
        return new KdlNode.Value(
                content, annotationName(context.type()), context.getStart().getLine());
    }

    private static Object keywordValue(String word) {
        return switch (word) {
            case "#true" -> true;
            case "#false" -> false;
            case "#inf" -> Double.POSITIVE_INFINITY;
            case "#-inf" -> Double.NEGATIVE_INFINITY;
            case "#nan" -> Double.NaN;
            default -> null; // #null, the only other keyword in the grammar
        };
    }

    private Object numberValue(KdlParser.NumberContext context) {
        String text = context.getText().replace("_", "");
        boolean isNegative = text.startsWith("-");
        String unsignedText = isNegative || text.startsWith("+") ? text.substring(1) : text;
        int radix = radix(unsignedText);
        if (radix == Radix.DECIMAL
                && (unsignedText.indexOf('.') >= 0
                        || unsignedText.toLowerCase(java.util.Locale.ROOT).indexOf('e') >= 0)) {
            return new BigDecimal(text).doubleValue();
        }
        String digits = radix == Radix.DECIMAL ? unsignedText : unsignedText.substring(RADIX_PREFIX_CHARS);
        BigInteger magnitude = new BigInteger(digits, radix);
        if (magnitude.bitLength() >= Long.SIZE) {
            addError(context, "'" + context.getText() + "' is out of the range of 64-bit integers");
            return 0L;
        }
        return isNegative ? -magnitude.longValue() : magnitude.longValue();
    }

    /** Number bases of integer literals. */
    private static final class Radix {
        private static final int BINARY = 2;
        private static final int OCTAL = 8;
        private static final int DECIMAL = 10;
        private static final int HEXADECIMAL = 16;
    }

    private static int radix(String unsignedText) {
        if (unsignedText.startsWith("0x")) {
            return Radix.HEXADECIMAL;
        }
        if (unsignedText.startsWith("0o")) {
            return Radix.OCTAL;
        }
        return unsignedText.startsWith("0b") ? Radix.BINARY : Radix.DECIMAL;
    }

    private String stringContent(KdlParser.TextContext context) {
        TerminalNode token = (TerminalNode) context.getChild(0);
        String text = token.getText();
        try {
            return switch (token.getSymbol().getType()) {
                case KdlLexer.IDENT -> identifierContent(context, text);
                case KdlLexer.RAW -> KdlStrings.decodeRaw(text);
                case KdlLexer.MULTILINE -> KdlStrings.decodeMultiline(text);
                default -> KdlStrings.decodeQuoted(text);
            };
        } catch (InvalidStringException invalid) {
            addError(context, invalid.getMessage());
            return "";
        }
    }

    private String identifierContent(KdlParser.TextContext context, String text) {
        if (RESERVED_WORDS.contains(text)) {
            addError(context, "'" + text + "' is written #" + text + ", or in quotes if text is meant");
        }
        return text;
    }

    private void addError(ParserRuleContext place, String message) {
        errors.add(new KdlError(place.getStart().getLine(), message));
    }
}
