package linenring.planner;

/** The time that all decisions of one reconciliation are taken at: that of the latest input, in milliseconds. */
final class DecisionTime {
    private double nowMs;

    double nowMs() {
        return nowMs;
    }

    void advanceTo(double timeMs) {
        nowMs = timeMs;
    }
}
