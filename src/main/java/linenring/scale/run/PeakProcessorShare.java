package linenring.scale.run;

import java.util.ArrayDeque;
import linenring.scale.process.ProcessorTimes;

/** Computes the highest processor share over any one second from readings taken a few times a second; performs no I/O. */
final class PeakProcessorShare {
    private static final long INTERVAL_NANOS = 1_000_000_000;

    private final ArrayDeque<ProcessorTimes> readings = new ArrayDeque<>(); // readings of the last second, oldest first
    private double peak;

    /** Adds the next reading of processor time. */
    void add(ProcessorTimes reading) {
        if (!readings.isEmpty() && reading.processorNanos() < readings.getLast().processorNanos()) {
            readings.clear(); // processor time has decreased, so the controller was restarted as a new process
        }
        readings.add(reading);
        while (reading.readAtNanos() - readings.peek().readAtNanos() >= INTERVAL_NANOS) {
            peak = Math.max(peak, reading.shareSince(readings.poll()));
        }
    }

    /** Returns the highest processor share over one second; 0 until the readings cover one second. */
    double peak() {
        return peak;
    }
}
