package linenring.kdl;

/** The content of quoted strings, from their text in the file with quotes and number signs. */
final class KdlStrings {
    private static final int MULTILINE_QUOTES = 3; // quotes on either side
    private static final int HEX = 16;
    private static final int MAX_UNICODE_ESCAPE_CHARS = 8; // the letter u, the opening brace and six digits
    private static final int UNICODE_PREFIX_CHARS = 2; // the letter u and the opening brace

    private KdlStrings() {}

    /** A string between number signs, in which a backslash is an ordinary character. */
    static String raw(String token) {
        int numberSigns = token.indexOf('"');
        return token.substring(numberSigns + 1, token.length() - numberSigns - 1);
    }

    /** A string in quotes, on one line. */
    static String quoted(String token) throws InvalidStringException {
        return unescape(token.substring(1, token.length() - 1));
    }

    /**
     * A string in triple quotes. The white space before the closing quotes is removed from the front of each line; the line
     * ends behind the opening quotes and before the closing ones do not belong to it.
     */
    static String multiline(String token) throws InvalidStringException {
        String body = token.substring(MULTILINE_QUOTES, token.length() - MULTILINE_QUOTES);
        String[] lines = body.replace("\r\n", "\n").split("\n", -1);
        String indent = lines[lines.length - 1];
        if (!indent.isBlank()) {
            throw new InvalidStringException(
                    "the closing quotes of text over several lines stand on a line of their own");
        }
        StringBuilder text = new StringBuilder();
        for (int i = 1; i < lines.length - 1; i++) {
            if (!lines[i].isBlank() && !lines[i].startsWith(indent)) {
                throw new InvalidStringException("a line of the text stands further left than its closing quotes");
            }
            text.append(i > 1 ? "\n" : "").append(lines[i].isBlank() ? "" : lines[i].substring(indent.length()));
        }
        return unescape(text.toString());
    }

    private static String unescape(String text) throws InvalidStringException {
        StringBuilder out = new StringBuilder();
        int next = 0;
        while (next < text.length()) {
            char character = text.charAt(next);
            next++;
            if (character == '\\') {
                next = appendEscape(text, next, out);
            } else {
                out.append(character);
            }
        }
        return out.toString();
    }

    /** Appends what the escape at this place, behind its backslash, stands for; returns the place behind it. */
    private static int appendEscape(String text, int start, StringBuilder out) throws InvalidStringException {
        char letter = start < text.length() ? text.charAt(start) : ' ';
        return switch (letter) {
            case 'u' -> appendUnicode(text, start, out);
            case ' ', '\t', '\r', '\n' -> endOfWhiteSpace(text, start);
            default -> {
                out.append(character(letter));
                yield start + 1;
            }
        };
    }

    private static char character(char letter) {
        return switch (letter) {
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 's' -> ' ';
            default -> letter; // a quote or a backslash, which stand for themselves
        };
    }

    private static int appendUnicode(String text, int start, StringBuilder out) throws InvalidStringException {
        int end = text.indexOf('}', start);
        if (end < 0 || end - start > MAX_UNICODE_ESCAPE_CHARS) {
            throw notACharacter();
        }
        int code = Integer.parseInt(text.substring(start + UNICODE_PREFIX_CHARS, end), HEX);
        boolean isSurrogate = code >= Character.MIN_SURROGATE && code <= Character.MAX_SURROGATE;
        if (code > Character.MAX_CODE_POINT || isSurrogate) {
            throw notACharacter();
        }
        out.appendCodePoint(code);
        return end + 1;
    }

    private static InvalidStringException notACharacter() {
        return new InvalidStringException("\\u{...} names no character");
    }

    /** White space behind a backslash does not belong to the text. */
    private static int endOfWhiteSpace(String text, int start) {
        int end = Math.min(start + 1, text.length());
        while (end < text.length() && Character.isWhitespace(text.charAt(end))) {
            end++;
        }
        return end;
    }
}
