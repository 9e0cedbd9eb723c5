package linenring.stream;

import java.net.InetSocketAddress;
import java.util.Locale;

/** The server could not be opened at its address. */
public final class ListenException extends Exception {
    /** The last step of opening that succeeded. */
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

    /** The address that was to be listened at. */
    public InetSocketAddress address() {
        return address;
    }

    /** How far opening came. */
    public Stage stage() {
        return stage;
    }

    /** What went wrong after {@link #stage}, without the address. */
    public String fault() {
        return lowerCase(stage) + ": " + getCause().getMessage();
    }
}
