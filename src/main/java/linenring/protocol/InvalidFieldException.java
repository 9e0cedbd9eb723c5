package linenring.protocol;

/** A field that is missing, of the wrong type or impossible; stops at the decoder. */
final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String what) {
        super(what, null, false, false);
    }
}
