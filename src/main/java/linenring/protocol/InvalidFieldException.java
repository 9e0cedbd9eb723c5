package linenring.protocol;

/** Thrown when a field is missing, has the wrong type or an invalid value; the decoder of the message catches it. */
final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    private InvalidFieldException(String message) {
        super(message, null, false, false); // without a stack trace, since peers can cause this exception at any rate
    }

    /** Returns an exception for an invalid field, such as "field id is missing". */
    static InvalidFieldException ofField(String field, String problem) {
        return new InvalidFieldException("field " + field + " " + problem);
    }

    /** Returns an exception for an invalid value, such as "field site: unknown 'x'". */
    static InvalidFieldException ofValue(String field, String problem) {
        return new InvalidFieldException("field " + field + ": " + problem);
    }
}
