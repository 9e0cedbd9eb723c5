package linenring.planner;

/** Time at which all decisions of one reconciliation are taken: the time of the latest input, in milliseconds. */
final class DecisionTime {
    private double nowMs;

    double nowMs() {
        return nowMs;
    }

    void advanceTo(double timeMs) {
        nowMs = timeMs;
    }
}
