package linenring.gateway;

import java.nio.channels.ServerSocketChannel;

/**
 * Where a gateway gets its listening socket from, and when it accepts.
 *
 * @param inheritedSocket one that another process has handed over, or null: it opens its own
 * @param acceptsAtOnce   else from {@link Http2Gateway#startAccepting} on
 */
public record ListenOptions(ServerSocketChannel inheritedSocket, boolean acceptsAtOnce) {
    /** Opens a socket and accepts at once. */
    public static ListenOptions openSocket() {
        return new ListenOptions(null, true);
    }
}
