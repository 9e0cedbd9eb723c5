package linenring.stream;

/** The peer broke the protocol in a way that ends its connection. Its message is the reason that is logged. */
final class ConnectionRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Without a stack trace: any peer can cause it as often as it likes, and the reason says all. */
    ConnectionRejectedException(String reason) {
        super(reason, null, false, false);
    }
}
