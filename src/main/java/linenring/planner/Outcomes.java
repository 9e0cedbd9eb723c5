package linenring.planner;

/**
 * Decaying totals of attempts: how many ended, how many of these failed, and the total latency of the successful
 * ones in milliseconds.
 */
final class Outcomes {
    /** Totals below this number of attempts are set to zero, so that a planner without new reports becomes idle. */
    private static final double NEGLIGIBLE_ATTEMPTS = 1e-9;

    private double ended;
    private double failed;
    private double successLatencyMs;

    /** Attempts that have ended, including failed ones. */
    double ended() {
        return ended;
    }

    double failed() {
        return failed;
    }

    /** Total latency of the successful attempts, in milliseconds. */
    double successLatencyMs() {
        return successLatencyMs;
    }

    void add(double endedAttempts, double failedAttempts, double latencyMs) {
        ended += endedAttempts;
        failed += failedAttempts;
        successLatencyMs += latencyMs;
    }

    void addAll(Outcomes other) {
        add(other.ended, other.failed, other.successLatencyMs);
    }

    void clear() {
        ended = 0;
        failed = 0;
        successLatencyMs = 0;
    }

    /** Multiplies the totals by the factor, and clears them when they become negligible. */
    void decay(double factor) {
        if (ended * factor < NEGLIGIBLE_ATTEMPTS) {
            clear();
            return;
        }
        ended *= factor;
        failed *= factor;
        successLatencyMs *= factor;
    }
}
