package linenring.scale.fleet;

/** Simulates the channel of a controller's updates, without I/O: it sends one message at a time, at a fixed rate of entries. */
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

    /** Queues a message with this number of entries, and returns the time at which its proxy receives the message. */
    double deliveryTimeMs(double nowMs, int entries) {
        freeAtMs = Math.max(nowMs, freeAtMs) + (entries + entriesPerMessage) / entriesPerMs;
        return freeAtMs + propagationMs;
    }
}
