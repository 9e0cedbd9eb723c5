package linenring.gateway;

import linenring.gateway.settings.GatewaySettings;
import linenring.routing.RecentExecutions;

/**
 * Limits on what clients can make the gateway hold: those of the settings, lowered where the heap has no space for them. Limits
 * beyond the heap would let clients end the process, the controller included.
 *
 * @param maxConnections        maximum number of client connections
 * @param maxTotalRequestBytes  maximum memory of the headers and flow-control windows of all active requests
 * @param maxTotalRetainedBytes maximum memory of all request bodies that are retained for retries
 * @param maxRememberedKeys     maximum number of idempotency keys that are remembered for their deduplication window
 */
record MemoryLimits(int maxConnections, long maxTotalRequestBytes, long maxTotalRetainedBytes, int maxRememberedKeys) {
    /** Shares of the heap; the rest is left for the controller, the host connections and garbage. */
    private static final double REQUESTS_HEAP_SHARE = 0.375;

    private static final double RETAINED_BODIES_HEAP_SHARE = 0.125;
    private static final double CONNECTIONS_HEAP_SHARE = 0.25;
    private static final double REMEMBERED_KEYS_HEAP_SHARE = 0.02;

    /** Heap of an idle client connection: session, end point, timers. */
    private static final int IDLE_CONNECTION_BYTES = 8 << 10;

    /** Heap of a connection's HPACK table of 4,096 bytes (RFC 7541, 4.1) when its fields are as short as possible. */
    private static final int FULL_HPACK_TABLE_BYTES = 24 << 10;

    /** Returns the limits of the settings, lowered to what a heap of {@code heapBytes} can hold. */
    static MemoryLimits of(GatewaySettings settings, long heapBytes) {
        // a client may stop within the headers of a request, which are buffered until they are complete
        long connectionBytes = (long) IDLE_CONNECTION_BYTES
                + FULL_HPACK_TABLE_BYTES
                + settings.clients().maxHeaderBytes();
        long connections = (long) (heapBytes * CONNECTIONS_HEAP_SHARE) / connectionBytes;
        return new MemoryLimits(
                (int) Math.min(settings.clients().maxConnections(), Math.max(1, connections)),
                Math.min(settings.body().maxTotalWindowBytes(), (long) (heapBytes * REQUESTS_HEAP_SHARE)),
                Math.min(settings.body().maxTotalRetainedBytes(), (long) (heapBytes * RETAINED_BODIES_HEAP_SHARE)),
                (int) Math.min(
                        Integer.MAX_VALUE,
                        (long) (heapBytes * REMEMBERED_KEYS_HEAP_SHARE) / RecentExecutions.BYTES_PER_KEY));
    }

    /** Whether one of the limits is lower than the settings say. */
    boolean isBelow(GatewaySettings settings) {
        return maxConnections < settings.clients().maxConnections()
                || maxTotalRequestBytes < settings.body().maxTotalWindowBytes()
                || maxTotalRetainedBytes < settings.body().maxTotalRetainedBytes();
    }
}
