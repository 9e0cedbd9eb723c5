package linenring.scale.fleet;

import java.util.concurrent.atomic.LongAdder;

/** Counts bytes and messages to and from one controller. Thread-safe. */
public final class Traffic {
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();

    /** The counts at one time. */
    public record Counts(long bytesIn, long bytesOut, long messagesIn, long messagesOut) {
        /** The counts since earlier ones. */
        public Counts since(Counts before) {
            return new Counts(
                    bytesIn - before.bytesIn,
                    bytesOut - before.bytesOut,
                    messagesIn - before.messagesIn,
                    messagesOut - before.messagesOut);
        }

        /** The sum of both. */
        public Counts plus(Counts other) {
            return new Counts(
                    bytesIn + other.bytesIn,
                    bytesOut + other.bytesOut,
                    messagesIn + other.messagesIn,
                    messagesOut + other.messagesOut);
        }
    }

    /** A message to the controller. */
    void messageIn() {
        messagesIn.increment();
    }

    /** A message from the controller. */
    void messageOut() {
        messagesOut.increment();
    }

    /** Bytes to the controller. */
    void bytesIn(int bytes) {
        bytesIn.add(bytes);
    }

    /** Bytes from the controller. */
    void bytesOut(int bytes) {
        bytesOut.add(bytes);
    }

    /** The counts so far. */
    public Counts counts() {
        return new Counts(bytesIn.sum(), bytesOut.sum(), messagesIn.sum(), messagesOut.sum());
    }
}
