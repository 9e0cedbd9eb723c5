package linenring.scale.fleet;

import java.util.concurrent.atomic.LongAdder;

/** What went to and from one steward. */
public final class Traffic {
    final LongAdder bytesIn = new LongAdder(),
            bytesOut = new LongAdder(),
            messagesIn = new LongAdder(),
            messagesOut = new LongAdder();

    /** The counts at one time. */
    public record Counts(long bytesIn, long bytesOut, long messagesIn, long messagesOut) {
        /** What came on top of earlier ones. */
        public Counts since(Counts before) {
            return new Counts(
                    bytesIn - before.bytesIn,
                    bytesOut - before.bytesOut,
                    messagesIn - before.messagesIn,
                    messagesOut - before.messagesOut);
        }

        public Counts plus(Counts other) {
            return new Counts(
                    bytesIn + other.bytesIn,
                    bytesOut + other.bytesOut,
                    messagesIn + other.messagesIn,
                    messagesOut + other.messagesOut);
        }
    }

    public Counts counts() {
        return new Counts(bytesIn.sum(), bytesOut.sum(), messagesIn.sum(), messagesOut.sum());
    }
}
