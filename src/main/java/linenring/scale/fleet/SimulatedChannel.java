package linenring.scale.fleet;

/** The channel of one controller's updates, without I/O: entries leave it at a fixed rate, one message after the other. */
final class SimulatedChannel {
    private static final double SECOND_MS = 1000;

    private final double entriesPerMs;
    private final double entriesPerMessage;
    private final double propagationMs;
    private double freeAtMs;

    SimulatedChannel(ChannelLimits limits) {
        entriesPerMs = limits.entriesPerSecond() / SECOND_MS;
        entriesPerMessage = limits.entriesPerMessage();
        propagationMs = limits.propagationMs();
    }

    /** When a message of that many entries that is sent now takes effect at its proxy. */
    double deliveryTimeMs(double nowMs, int entries) {
        freeAtMs = Math.max(nowMs, freeAtMs) + (entries + entriesPerMessage) / entriesPerMs;
        return freeAtMs + propagationMs;
    }
}
