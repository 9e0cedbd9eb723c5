package linenring.scale.run;

import java.util.ArrayDeque;
import linenring.scale.process.ProcessorTimes;

/** The highest processor share over any one second, from readings that come a few times a second. Without I/O. */
final class PeakShare {
    private static final long INTERVAL_NANOS = 1_000_000_000;

    private final ArrayDeque<ProcessorTimes> readings = new ArrayDeque<>(); // oldest first
    private double peak;

    /** Adds the next reading. */
    void add(ProcessorTimes next) {
        if (!readings.isEmpty() && next.nanos() < readings.getLast().nanos()) {
            readings.clear(); // another process: the controller was restarted
        }
        readings.add(next);
        while (next.atNanos() - readings.peek().atNanos() >= INTERVAL_NANOS) {
            peak = Math.max(peak, next.shareSince(readings.poll()));
        }
    }

    /** The highest share; 0 before the readings cover a second. */
    double peak() {
        return peak;
    }
}
