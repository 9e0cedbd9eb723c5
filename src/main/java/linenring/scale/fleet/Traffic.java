package linenring.scale.fleet;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes and messages to and from one controller. Thread-safe. */
public final class Traffic {
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();

    /** A snapshot of the counts. */
    public record Counts(long bytesIn, long bytesOut, long messagesIn, long messagesOut) {
        /** Returns the difference to an earlier snapshot. */
        public Counts since(Counts before) {
            return new Counts(
                    bytesIn - before.bytesIn,
                    bytesOut - before.bytesOut,
                    messagesIn - before.messagesIn,
                    messagesOut - before.messagesOut);
        }

        /** Returns the sum of two snapshots. */
        public Counts plus(Counts other) {
            return new Counts(
                    bytesIn + other.bytesIn,
                    bytesOut + other.bytesOut,
                    messagesIn + other.messagesIn,
                    messagesOut + other.messagesOut);
        }
    }

    /** Counts a message to the controller. */
    void messageIn() {
        messagesIn.increment();
    }

    /** Counts a message from the controller. */
    void messageOut() {
        messagesOut.increment();
    }

    /** Counts bytes to the controller. */
    void bytesIn(int bytes) {
        bytesIn.add(bytes);
    }

    /** Counts bytes from the controller. */
    void bytesOut(int bytes) {
        bytesOut.add(bytes);
    }

    /** Returns a snapshot of the current counts. */
    public Counts counts() {
        return new Counts(bytesIn.sum(), bytesOut.sum(), messagesIn.sum(), messagesOut.sum());
    }
}
