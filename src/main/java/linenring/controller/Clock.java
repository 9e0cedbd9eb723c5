package linenring.controller;

import java.time.Instant;

/**
 * A monotonic clock in Unix time. It reads the system clock once, at its start, so that later clock adjustments have no effect.
 */
final class Clock {
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final long startNanos = System.nanoTime();
    private final double startMs;

    Clock() {
        this(Instant.now());
    }

    Clock(Instant start) {
        startMs = start.getEpochSecond() * MILLIS_PER_SECOND + start.getNano() / NANOS_PER_MILLI;
    }

    /** Returns the current time in milliseconds since the Unix epoch. */
    double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
