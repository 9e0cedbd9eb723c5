package linenring.planner;

/**
 * Computes when the planner must be called if no input arrives: at the first tick of a fixed interval by which a
 * decision is due, and not at all while none is due. Skipped ticks stay on the same grid, so that a call happens at
 * the time at which it would have happened with a call at every tick. Times are milliseconds.
 */
final class TickTimer {
    /** Tolerance of call times, since callers may round times to whole milliseconds. */
    private static final double ROUNDING_MS = 1;

    private final double tickMs;
    private double lastTickMs;
    private double requestedCallMs = Double.NEGATIVE_INFINITY;

    TickTimer(double tickMs) {
        this.tickMs = tickMs;
    }

    /** Returns the time of the last tick up to the given time, including skipped ticks. */
    double lastTickBy(double nowMs) {
        return lastTickBy(nowMs, 0);
    }

    private double lastTickBy(double nowMs, double toleranceMs) {
        if (nowMs + ROUNDING_MS >= requestedCallMs) {
            return nowMs;
        }
        double elapsedTicksMs = tickMs * Math.floor((nowMs + toleranceMs - lastTickMs) / tickMs);
        return Math.min(nowMs, lastTickMs + elapsedTicksMs);
    }

    /**
     * Returns the time of the next call to request; infinity if this call is requested already or no decision is due.
     */
    double nextCallAtMs(double nowMs, double dueMs) {
        lastTickMs = lastTickBy(nowMs, ROUNDING_MS);
        double nextCallMs = lastTickMs + tickMs * Math.max(1, Math.ceil((dueMs - lastTickMs) / tickMs));
        boolean isRequested = nextCallMs == requestedCallMs;
        requestedCallMs = nextCallMs;
        return isRequested ? Double.POSITIVE_INFINITY : nextCallMs;
    }
}
