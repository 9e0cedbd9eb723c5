package linenring.controller;

import java.time.Instant;

/** One monotonic clock, fixed to Unix time at its start; in milliseconds. */
final class Clock {
    private final long startNanos = System.nanoTime();
    private final double startMs;

    Clock() {
        this(Instant.now());
    }

    Clock(Instant start) {
        startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
    }

    double now() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
