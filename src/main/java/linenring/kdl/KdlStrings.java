package linenring.kdl;

/** Decodes KDL string literals, given with their quotes and number signs, to their content. */
final class KdlStrings {
    private static final int MULTILINE_QUOTE_CHARS = 3; // quote characters on each side
    private static final int HEXADECIMAL_RADIX = 16;
    private static final int MAX_UNICODE_ESCAPE_CHARS = 8; // u{ and up to six hexadecimal digits
    private static final int UNICODE_PREFIX_CHARS = 2; // length of the prefix u{ of a Unicode escape

    private KdlStrings() {}

    /** Returns the content of a raw string ({@code #"..."#}), in which a backslash has no special meaning. */
    static String decodeRaw(String token) {
        int numberSigns = token.indexOf('"');
        return token.substring(numberSigns + 1, token.length() - numberSigns - 1);
    }

    /** Returns the content of a quoted string on a single line. */
    static String decodeQuoted(String token) throws InvalidStringException {
        return unescape(token.substring(1, token.length() - 1));
    }

    /**
     * Returns the content of a string in triple quotes. The indentation of the closing quotes is removed from each line.
     * The line break after the opening quotes and the one before the closing quotes are not part of the content.
     */
    static String decodeMultiline(String token) throws InvalidStringException {
        String body = token.substring(MULTILINE_QUOTE_CHARS, token.length() - MULTILINE_QUOTE_CHARS);
        String[] lines = body.replace("\r\n", "\n").split("\n", -1);
        String indent = lines[lines.length - 1];
        if (!indent.isBlank()) {
            throw new InvalidStringException(
                    "the closing quotes of a multi-line string must be on a line of their own");
        }
        StringBuilder text = new StringBuilder();
        for (int i = 1; i < lines.length - 1; i++) {
            if (!lines[i].isBlank() && !lines[i].startsWith(indent)) {
                throw new InvalidStringException(
                        "a line of a multi-line string is indented less than its closing quotes");
            }
            text.append(i > 1 ? "\n" : "").append(lines[i].isBlank() ? "" : lines[i].substring(indent.length()));
        }
        return unescape(text.toString());
    }

    private static String unescape(String text) throws InvalidStringException {
        StringBuilder out = new StringBuilder();
        int position = 0;
        while (position < text.length()) {
            char character = text.charAt(position);
            position++;
            if (character == '\\') {
                position = appendEscape(text, position, out);
            } else {
                out.append(character);
            }
        }
        return out.toString();
    }

    /** Appends the character of an escape sequence whose backslash precedes {@code start}; returns the index after the sequence. */
    private static int appendEscape(String text, int start, StringBuilder out) throws InvalidStringException {
        char letter = start < text.length() ? text.charAt(start) : ' ';
        return switch (letter) {
            case 'u' -> appendUnicodeEscape(text, start, out);
            case ' ', '\t', '\r', '\n' -> skipWhiteSpace(text, start);
            default -> {
                out.append(unescapedCharacter(letter));
                yield start + 1;
            }
        };
    }

    private static char unescapedCharacter(char letter) {
        return switch (letter) {
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            case 'b' -> '\b';
            case 'f' -> '\f';
            case 's' -> ' ';
            default -> letter; // an escaped quote or backslash
        };
    }

    private static int appendUnicodeEscape(String text, int start, StringBuilder out) throws InvalidStringException {
        int end = text.indexOf('}', start);
        if (end < 0 || end - start > MAX_UNICODE_ESCAPE_CHARS) {
            throw invalidUnicodeEscape();
        }
        int code = Integer.parseInt(text.substring(start + UNICODE_PREFIX_CHARS, end), HEXADECIMAL_RADIX);
        boolean isSurrogate = code >= Character.MIN_SURROGATE && code <= Character.MAX_SURROGATE;
        if (code > Character.MAX_CODE_POINT || isSurrogate) {
            throw invalidUnicodeEscape();
        }
        out.appendCodePoint(code);
        return end + 1;
    }

    private static InvalidStringException invalidUnicodeEscape() {
        return new InvalidStringException("\\u{...} is not a valid Unicode character");
    }

    /** Returns the index after the white space at {@code start}; white space after a backslash is not part of the content. */
    private static int skipWhiteSpace(String text, int start) {
        int end = Math.min(start + 1, text.length());
        while (end < text.length() && Character.isWhitespace(text.charAt(end))) {
            end++;
        }
        return end;
    }
}
