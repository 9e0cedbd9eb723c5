package linenring.gateway;

import java.nio.channels.ServerSocketChannel;

/**
 * Defines which socket a gateway listens on, and when it begins to accept connections.
 *
 * @param inheritedSocket a listening socket from another process, or null if the gateway opens its own
 * @param acceptsAtOnce   whether the gateway accepts immediately, instead of after {@link Http2Gateway#startAccepting}
 */
public record ListenOptions(ServerSocketChannel inheritedSocket, boolean acceptsAtOnce) {
    /** Returns options to open a new socket and accept immediately. */
    public static ListenOptions openSocket() {
        return new ListenOptions(null, true);
    }
}
