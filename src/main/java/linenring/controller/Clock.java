package linenring.controller;

import java.time.Instant;

/** A monotonic clock that is set to Unix time once, at its start: no later step of the system's clock moves it. */
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

    /** Milliseconds since the Unix epoch. */
    double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
