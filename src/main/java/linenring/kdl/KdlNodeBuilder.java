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

/** Makes nodes of a parse tree and checks what the grammar can't express. One builder for one document. */
final class KdlNodeBuilder {
    /** Words that KDL 2 writes with a number sign before them. */
    private static final Set<String> RESERVED_WORDS = Set.of("true", "false", "null", "inf", "-inf", "nan");

    private static final int PREFIX_LENGTH = 2; // of 0x, 0o, 0b

    private final List<KdlError> errors = new ArrayList<>();

    /** The errors found so far, in the order of their lines. */
    List<KdlError> errors() {
        return errors;
    }

    List<KdlNode> nodes(KdlParser.NodesContext context) {
        List<KdlNode> nodes = new ArrayList<>();
        for (KdlParser.NodeContext node : context.node()) {
            boolean isCommentedOut = node.SLASHDASH() != null;
            if (!isCommentedOut) {
                nodes.add(node(node));
            }
        }
        return nodes;
    }

    private KdlNode node(KdlParser.NodeContext context) {
        List<KdlNode.Value> arguments = new ArrayList<>();
        Map<String, KdlNode.Value> properties = new LinkedHashMap<>();
        List<KdlNode> children = null; // until a block of them has come
        for (KdlParser.EntryContext entry : context.entry()) {
            boolean isCommentedOut = entry.SLASHDASH() != null;
            if (isCommentedOut) {
                continue;
            }
            if (entry.children() != null) {
                if (children != null) {
                    error(entry, "a second block of children");
                }
                children = nodes(entry.children().nodes());
            } else if (children != null) {
                error(
                        entry,
                        "'" + entry.getText() + "' stands behind the children; end the line or put it before them");
            } else if (entry.property() != null) {
                properties.put(
                        text(entry.property().key), value(entry.property().value()));
            } else {
                arguments.add(value(entry.value()));
            }
        }
        return new KdlNode(
                text(context.name),
                annotation(context.type()),
                arguments,
                properties,
                children == null ? List.of() : children,
                context.name.getStart().getLine());
    }

    private String annotation(KdlParser.TypeContext context) {
        return context == null ? null : text(context.text());
    }

    private KdlNode.Value value(KdlParser.ValueContext context) {
        Object content;
        if (context.text() != null) {
            content = text(context.text());
        } else if (context.number() != null) {
            content = number(context.number());
        } else {
            content = keyword(context.KEYWORD().getText());
        }
        return new KdlNode.Value(
                content, annotation(context.type()), context.getStart().getLine());
    }

    private static Object keyword(String word) {
        return switch (word) {
            case "#true" -> true;
            case "#false" -> false;
            case "#inf" -> Double.POSITIVE_INFINITY;
            case "#-inf" -> Double.NEGATIVE_INFINITY;
            case "#nan" -> Double.NaN;
            default -> null; // #null, the last one that the grammar has
        };
    }

    private Object number(KdlParser.NumberContext context) {
        String text = context.getText().replace("_", "");
        boolean isNegative = text.startsWith("-");
        String unsigned = isNegative || text.startsWith("+") ? text.substring(1) : text;
        int radix = radix(unsigned);
        if (radix == Radix.DECIMAL
                && (unsigned.indexOf('.') >= 0
                        || unsigned.toLowerCase(java.util.Locale.ROOT).indexOf('e') >= 0)) {
            return new BigDecimal(text).doubleValue();
        }
        String digits = radix == Radix.DECIMAL ? unsigned : unsigned.substring(PREFIX_LENGTH);
        BigInteger magnitude = new BigInteger(digits, radix);
        if (magnitude.bitLength() >= Long.SIZE) {
            error(context, "'" + context.getText() + "' is out of range");
            return 0L;
        }
        return isNegative ? -magnitude.longValue() : magnitude.longValue();
    }

    /** Bases of whole numbers. */
    private static final class Radix {
        private static final int BINARY = 2;
        private static final int OCTAL = 8;
        private static final int DECIMAL = 10;
        private static final int HEXADECIMAL = 16;
    }

    private static int radix(String unsigned) {
        if (unsigned.startsWith("0x")) {
            return Radix.HEXADECIMAL;
        }
        if (unsigned.startsWith("0o")) {
            return Radix.OCTAL;
        }
        return unsigned.startsWith("0b") ? Radix.BINARY : Radix.DECIMAL;
    }

    private String text(KdlParser.TextContext context) {
        TerminalNode token = (TerminalNode) context.getChild(0);
        String text = token.getText();
        try {
            return switch (token.getSymbol().getType()) {
                case KdlLexer.IDENT -> identifier(context, text);
                case KdlLexer.RAW -> KdlStrings.raw(text);
                case KdlLexer.MULTILINE -> KdlStrings.multiline(text);
                default -> KdlStrings.quoted(text);
            };
        } catch (InvalidStringException invalid) {
            error(context, invalid.getMessage());
            return "";
        }
    }

    private String identifier(KdlParser.TextContext context, String text) {
        if (RESERVED_WORDS.contains(text)) {
            error(context, "'" + text + "' is written #" + text + ", or in quotes if text is meant");
        }
        return text;
    }

    private void error(ParserRuleContext place, String message) {
        errors.add(new KdlError(place.getStart().getLine(), message));
    }
}
