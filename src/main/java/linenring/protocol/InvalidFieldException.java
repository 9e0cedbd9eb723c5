package linenring.protocol;

/** A field of a message is missing, of the wrong type or impossible; the decoder that reads the message catches it. */
final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    private InvalidFieldException(String message) {
        super(message, null, false, false); // without a stack trace: peers cause it, as often as they like
    }

    /** The field itself is wrong, as in "field id is missing". */
    static InvalidFieldException ofField(String field, String problem) {
        return new InvalidFieldException("field " + field + " " + problem);
    }

    /** The field has an impossible value, as in "field site: unknown 'x'". */
    static InvalidFieldException ofValue(String field, String problem) {
        return new InvalidFieldException("field " + field + ": " + problem);
    }
}
