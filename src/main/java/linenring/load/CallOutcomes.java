package linenring.load;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What came of one operation's calls. Written under the generator's lock, read once the load has ended. */
public final class CallOutcomes {
    private static final int MAX_LATENCY_SECONDS = 60;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram latencyMicros =
            new Histogram(TimeUnit.SECONDS.toMicros(MAX_LATENCY_SECONDS), SIGNIFICANT_DIGITS);
    private final Map<String, Long> countsByEnd = new TreeMap<>();
    private long sent;

    void recordSent() {
        sent++;
    }

    void recordEnd(CallEnd end, long micros) {
        countsByEnd.merge(end.label(), 1L, Long::sum);
        if (end.isAnswered()) {
            latencyMicros.recordValue(Math.min(micros, latencyMicros.getHighestTrackableValue()));
        }
    }

    /** Calls that were due. */
    public long sent() {
        return sent;
    }

    /** Calls that were answered, with any status. */
    public long answered() {
        return latencyMicros.getTotalCount();
    }

    /** From when a call was due until its answer was complete, in microseconds, of those that were answered. */
    public Histogram latencyMicros() {
        return latencyMicros;
    }

    /** How many ended how: by status, "reset N", "refused", "lost", "unsent". */
    public Map<String, Long> countsByEnd() {
        return Collections.unmodifiableMap(countsByEnd);
    }

    /** Sent, and neither answered nor known to be not processed. */
    public long lost() {
        return countsByEnd.getOrDefault(CallEnd.LOST.label(), 0L);
    }
}
