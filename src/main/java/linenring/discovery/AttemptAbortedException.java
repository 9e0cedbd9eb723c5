package linenring.discovery;

/** What discovery has sent ends the attempt at its address. Its message is the reason that is logged. */
final class AttemptAbortedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Without a stack trace: an attempt may end so several times a second, and the reason says all. */
    AttemptAbortedException(String reason) {
        super(reason, null, false, false);
    }
}
