package linenring.handover;

/** Thrown if the new process is unable to serve, so that the old process keeps serving and logs the message. */
public final class PreparationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the reason in one line. */
    public PreparationException(String reason) {
        super(reason);
    }

    /** Creates the exception with the reason in one line and its cause. */
    public PreparationException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
