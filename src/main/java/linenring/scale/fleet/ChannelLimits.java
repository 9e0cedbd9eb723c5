package linenring.scale.fleet;

/**
 * The channel from a controller to its proxies, as its settings state it and the simulated proxies keep it.
 *
 * @param entriesPerSecond its rate
 * @param entriesPerMessage the cost of each message beside its entries
 * @param maxQueuedEntries how many entries may wait in it
 * @param propagationMs the usual delay from the channel's end to the proxy
 * @param maxTransitMs the longest such delay
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
    /** The queue of a large fleet is sized by its proxies. */
    private static final double QUEUED_ENTRIES_PER_PROXY = 22;

    private static final double PROPAGATION_MS = 200;
    private static final double MAX_TRANSIT_MS = 500;

    /** The channel of a large fleet (docs/results.md) with that many proxies. */
    public static ChannelLimits ofFleet(int proxies) {
        return new ChannelLimits(
                ENTRIES_PER_SECOND,
                ENTRIES_PER_MESSAGE,
                Math.max(MIN_QUEUED_ENTRIES, QUEUED_ENTRIES_PER_PROXY * proxies),
                PROPAGATION_MS,
                MAX_TRANSIT_MS);
    }
}
