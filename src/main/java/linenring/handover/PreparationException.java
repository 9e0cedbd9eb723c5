package linenring.handover;

/** The new process cannot serve, so that the old one goes on. Its message is the reason that is logged there. */
public final class PreparationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** With the reason in one line. */
    public PreparationException(String reason) {
        super(reason);
    }

    /** The same, where a fault of another part is the reason. */
    public PreparationException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
