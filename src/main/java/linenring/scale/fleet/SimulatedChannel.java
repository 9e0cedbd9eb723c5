package linenring.scale.fleet;

/** The channel of one steward's orders, without I/O: lines leave it at a pace, one message after the other. Times are ms. */
final class SimulatedChannel {
    private final double linesPerMs;
    private final double perMessage;
    private final double propagationMs;
    private double freeAt;

    SimulatedChannel(ChannelLimits limits) {
        linesPerMs = limits.linesPerSecond() / 1000;
        perMessage = limits.linesPerMessage();
        propagationMs = limits.propagationMs();
    }

    /** When a message of so many lines that enters now takes effect at its proxy. */
    double deliveredAt(double now, int lines) {
        freeAt = Math.max(now, freeAt) + (lines + perMessage) / linesPerMs;
        return freeAt + propagationMs;
    }
}
