package linenring.planner;

/** One message to one proxy, from its dispatch until it has left the channel. Times are on the planner's clock. */
final class SentMessage {
    private final int nonce;
    private final double sentAtMs;
    private final double entries;
    private final double expectedDepartureMs;
    private double slowdown = 1;
    private boolean acknowledged;
    private boolean lost;

    SentMessage(int nonce, double sentAtMs, double entries, double expectedDepartureMs) {
        this.nonce = nonce;
        this.sentAtMs = sentAtMs;
        this.entries = entries;
        this.expectedDepartureMs = expectedDepartureMs;
    }

    int nonce() {
        return nonce;
    }

    double sentAtMs() {
        return sentAtMs;
    }

    /** Number of entries that the message takes of the channel, including its message overhead. */
    double entries() {
        return entries;
    }

    /** Time by which the message has left the channel queue at the channel's stated rate. */
    double expectedDepartureMs() {
        return expectedDepartureMs;
    }

    /**
     * Estimated time that the message spends in the channel queue, at the rate that later acknowledgements have
     * shown.
     */
    double estimatedQueueDelayMs() {
        return slowdown * (expectedDepartureMs - sentAtMs);
    }

    /** Sets the factor by which the channel is slower than its stated rate, as measured by an acknowledgement. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Marks the message as acknowledged, by its own nonce or by that of a later message to the same proxy. */
    void markAcknowledged() {
        acknowledged = true;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    /** Marks the message as lost: its stream has closed, so no acknowledgement can arrive. */
    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }
}
