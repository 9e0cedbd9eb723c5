package linenring.gateway;

/** A gateway that could not be started; nothing of it is left running. */
public final class GatewayStartException extends Exception {
    private static final long serialVersionUID = 1;

    GatewayStartException(Exception cause) {
        super(String.valueOf(cause.getMessage() == null ? cause : cause.getMessage()), cause);
    }
}
