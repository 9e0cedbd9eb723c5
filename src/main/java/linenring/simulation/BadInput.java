package linenring.simulation;

/** Input that is not the wire; the message names the line and the field. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadInput(long line, String what) {
        super("line " + line + ": " + what, null, false, false);
    }
}
