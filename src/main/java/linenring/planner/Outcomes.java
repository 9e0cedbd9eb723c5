package linenring.planner;

/**
 * Decaying totals of attempts: how many ended, how many of these failed, and the time that the others took, in milliseconds.
 */
final class Outcomes {
    /** So few attempts count as none, so that totals which only decay reach zero and the planner comes to rest. */
    private static final double NEGLIGIBLE_ATTEMPTS = 1e-9;

    private double ended;
    private double failed;
    private double spentMs;

    /** Attempts that have ended, failed ones included. */
    double ended() {
        return ended;
    }

    double failed() {
        return failed;
    }

    /** The time that the attempts which did not fail took in all. */
    double spentMs() {
        return spentMs;
    }

    void add(double endedAttempts, double failedAttempts, double spent) {
        ended += endedAttempts;
        failed += failedAttempts;
        spentMs += spent;
    }

    void addAll(Outcomes other) {
        add(other.ended, other.failed, other.spentMs);
    }

    void clear() {
        ended = 0;
        failed = 0;
        spentMs = 0;
    }

    /** Multiplies all totals by the factor. */
    void decay(double factor) {
        if (ended * factor < NEGLIGIBLE_ATTEMPTS) {
            clear();
            return;
        }
        ended *= factor;
        failed *= factor;
        spentMs *= factor;
    }
}
