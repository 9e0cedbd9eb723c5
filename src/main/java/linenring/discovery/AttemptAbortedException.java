package linenring.discovery;

/** Thrown where a discovery agent's data ends the connection attempt. The message is the reason that is logged. */
final class AttemptAbortedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception without a stack trace: attempts may fail several times a second, and the reason suffices. */
    AttemptAbortedException(String reason) {
        super(reason, null, false, false);
    }
}
