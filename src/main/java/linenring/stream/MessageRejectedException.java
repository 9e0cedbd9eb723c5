package linenring.stream;

/** One message is dropped; those around it on the same connection count. Its message is the reason that is logged. */
final class MessageRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Without a stack trace: any peer can cause it as often as it likes, and the reason says all. */
    MessageRejectedException(String reason) {
        super(reason, null, false, false);
    }
}
