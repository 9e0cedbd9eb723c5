package linenring.message;

/** A field that is missing, of the wrong type or impossible; stops at the decoder. */
final class BadField extends Exception {
    private static final long serialVersionUID = 1L;

    BadField(String what) {
        super(what, null, false, false);
    }
}
