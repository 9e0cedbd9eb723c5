package linenring.load;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Latencies and outcomes of one operation's calls. Written under the generator's lock and read after the load has ended. */
public final class CallOutcomes {
    private static final int MAX_LATENCY_SECONDS = 60;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram latencyMicros =
            new Histogram(TimeUnit.SECONDS.toMicros(MAX_LATENCY_SECONDS), SIGNIFICANT_DIGITS);
    private final Map<String, Long> countsByEnd = new TreeMap<>();
    private long scheduledCalls;

    void recordScheduled() {
        scheduledCalls++;
    }

    void recordEnd(CallEnd end, long elapsedMicros) {
        countsByEnd.merge(end.label(), 1L, Long::sum);
        if (end.isAnswered()) {
            latencyMicros.recordValue(Math.min(elapsedMicros, latencyMicros.getHighestTrackableValue()));
        }
    }

    /** Returns the number of calls that were scheduled, including calls that could not be sent. */
    public long scheduledCalls() {
        return scheduledCalls;
    }

    /** Returns the number of calls that received a response, with any status. */
    public long answeredCalls() {
        return latencyMicros.getTotalCount();
    }

    /** Returns the latencies of answered calls in microseconds, from the scheduled time until the response was complete. */
    public Histogram latencyMicros() {
        return latencyMicros;
    }

    /** Returns the number of calls by outcome: the status, "reset N", "refused", "lost" or "unsent". */
    public Map<String, Long> countsByEnd() {
        return Collections.unmodifiableMap(countsByEnd);
    }

    /** Returns the number of calls that were sent but have no response, so that the server may or may not have processed them. */
    public long lostCalls() {
        return countsByEnd.getOrDefault(CallEnd.LOST.label(), 0L);
    }
}
