package linenring.planner;

/** One message to one proxy, from when it was sent until the channel has carried it. Times are on the planner's clock. */
final class SentMessage {
    private final int nonce;
    private final double sentAtMs;
    private final double entries;
    private final double leavesByMs;
    private double slowdown = 1;
    private boolean acknowledged;
    private boolean lost;

    SentMessage(int nonce, double sentAtMs, double entries, double leavesByMs) {
        this.nonce = nonce;
        this.sentAtMs = sentAtMs;
        this.entries = entries;
        this.leavesByMs = leavesByMs;
    }

    int nonce() {
        return nonce;
    }

    double sentAtMs() {
        return sentAtMs;
    }

    /** What it takes of the channel, the cost of the message itself included. */
    double entries() {
        return entries;
    }

    /** When it has left the channel if that keeps its stated rate. */
    double leavesByMs() {
        return leavesByMs;
    }

    /** How long it waits for the channel at the pace that acknowledgements have shown since. */
    double observedWaitMs() {
        return slowdown * (leavesByMs - sentAtMs);
    }

    /** An acknowledgement shows that the channel was slower than stated by this factor. */
    void slowedBy(double factor) {
        slowdown = factor;
    }

    /** Its acknowledgement, or that of a later message to the same proxy, has come. */
    void acknowledge() {
        acknowledged = true;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    /** Its stream has ended: no acknowledgement can come. */
    void lose() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }
}
