package linenring.stream;

/** Thrown when one message is dropped while its connection stays open. The exception message is logged as the reason. */
final class MessageRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, since peers can cause it at any rate and the reason is sufficient. */
    MessageRejectedException(String reason) {
        super(reason, null, false, false);
    }
}
