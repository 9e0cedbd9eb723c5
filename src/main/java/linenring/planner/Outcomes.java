package linenring.planner;

/** Faded sums of attempts: how many ended, how many of these failed, and the time that the others took, in milliseconds. */
final class Outcomes {
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
        ended *= factor;
        failed *= factor;
        spentMs *= factor;
    }
}
