package linenring.planner;

/** Faded sums of attempts: how many ended, how many of these failed, and the time that the others took, in milliseconds. */
final class Outcomes {
    /** So few attempts count as none, so that sums which only fade come to an end. */
    private static final double NEGLIGIBLE = 1e-9;

    double ended;
    double failed;
    double spentMs;

    void add(double ended, double failed, double spentMs) {
        this.ended += ended;
        this.failed += failed;
        this.spentMs += spentMs;
    }

    /** Multiplies all sums; 0 forgets them. */
    void scale(double factor) {
        if (ended * factor < NEGLIGIBLE) {
            ended = failed = spentMs = 0;
            return;
        }
        ended *= factor;
        failed *= factor;
        spentMs *= factor;
    }
}
