package linenring.gateway;

/** Thrown when a gateway cannot be started; all of its threads and sockets have been closed. */
public final class GatewayStartException extends Exception {
    private static final long serialVersionUID = 1;

    GatewayStartException(Exception cause) {
        super(String.valueOf(cause.getMessage() == null ? cause : cause.getMessage()), cause);
    }
}
