package linenring.scale.fleet;

/**
 * The limits of the channel from a controller to its proxies: stated in the controller's settings, and kept by the simulated
 * channel.
 *
 * @param entriesPerSecond rate of the channel
 * @param entriesPerMessage overhead of a message, in entries
 * @param maxQueuedEntries largest number of entries in the channel's queue
 * @param propagationMs usual delay from the end of the channel to the proxy
 * @param maxTransitMs longest delay from the end of the channel to the proxy
 */
public record ChannelLimits(
        double entriesPerSecond,
        double entriesPerMessage,
        double maxQueuedEntries,
        double propagationMs,
        double maxTransitMs) {
    private static final double ENTRIES_PER_SECOND = 1200;
    private static final double ENTRIES_PER_MESSAGE = 4;
    private static final double MIN_QUEUED_ENTRIES = 1500;
    /** Queue capacity for each proxy; the queue of a large fleet grows with the number of its proxies. */
    private static final double QUEUED_ENTRIES_PER_PROXY = 22;

    private static final double PROPAGATION_MS = 200;
    private static final double MAX_TRANSIT_MS = 500;

    /** Returns the limits of the large fleet in docs/results.md, for this number of proxies. */
    public static ChannelLimits ofFleet(int proxies) {
        return new ChannelLimits(
                ENTRIES_PER_SECOND,
                ENTRIES_PER_MESSAGE,
                Math.max(MIN_QUEUED_ENTRIES, QUEUED_ENTRIES_PER_PROXY * proxies),
                PROPAGATION_MS,
                MAX_TRANSIT_MS);
    }
}
