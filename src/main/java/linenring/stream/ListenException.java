package linenring.stream;

import java.net.InetSocketAddress;
import java.util.Locale;

/** Thrown when the server cannot listen at its address. */
public final class ListenException extends Exception {
    /** The last step of opening the server that succeeded. */
    public enum Stage {
        STARTED,
        BOUND
    }

    private static final long serialVersionUID = 1L;

    private final transient InetSocketAddress address;
    private final Stage stage;

    ListenException(InetSocketAddress address, Stage stage, Exception cause) {
        super("cannot listen at " + address + " (" + lowerCase(stage) + "): " + cause.getMessage(), cause);
        this.address = address;
        this.stage = stage;
    }

    private static String lowerCase(Stage stage) {
        return stage.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the address at which the server could not listen. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the last step of opening the server that succeeded. */
    public Stage stage() {
        return stage;
    }

    /** Returns the stage and the message of the cause, without the address. */
    public String failureSummary() {
        return lowerCase(stage) + ": " + getCause().getMessage();
    }
}
