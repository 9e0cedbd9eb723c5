package linenring.stream;

/** Thrown on a protocol violation after which the peer's connection is closed. The exception message is logged as the reason. */
final class ConnectionRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, since peers can cause it at any rate and the reason is sufficient. */
    ConnectionRejectedException(String reason) {
        super(reason, null, false, false);
    }
}
