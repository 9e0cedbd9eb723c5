package linenring.scale.fleet;

/**
 * The channel from a steward to its proxies, as its settings state it and the hollow proxies keep it.
 *
 * @param linesPerSecond its pace
 * @param linesPerMessage what each message costs beside its lines
 * @param linesWaitingMost what may wait in it
 */
public record ChannelLimits(
        double linesPerSecond,
        double linesPerMessage,
        double linesWaitingMost,
        double propagationMs,
        double transitMostMs) {
    private static final double FLEET_LINES_PER_PROXY = 22; // the queue of a fleet is sized by its proxies
    private static final double WAITING_LEAST = 1500;

    /** A large fleet's: docs/results.md. */
    public static ChannelLimits ofFleet(int proxies) {
        return new ChannelLimits(1200, 4, Math.max(WAITING_LEAST, FLEET_LINES_PER_PROXY * proxies), 200, 500);
    }
}
