package linenring.scale.run;

import java.util.ArrayDeque;
import linenring.scale.process.ProcessorTimes;

/** The highest processor share over any one second, of readings that come a few times a second. Without I/O. */
final class PeakShare {
    private static final long SPAN_NANOS = 1_000_000_000;

    private final ArrayDeque<ProcessorTimes> readings = new ArrayDeque<>(); // oldest first
    private double peak;

    /** Takes the next reading in. */
    void read(ProcessorTimes next) {
        if (!readings.isEmpty() && next.nanos() < readings.getLast().nanos()) {
            readings.clear(); // another process: the steward was started anew
        }
        readings.add(next);
        while (next.atNanos() - readings.peek().atNanos() >= SPAN_NANOS) {
            peak = Math.max(peak, next.shareSince(readings.poll()));
        }
    }

    /** 0 as long as no second was seen whole. */
    double peak() {
        return peak;
    }
}
