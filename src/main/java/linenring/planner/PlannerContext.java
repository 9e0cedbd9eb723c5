package linenring.planner;

/**
 * What all mechanisms are handed: the settings, the time of the decision, the state, and the two ways to act on it. Each keeps
 * its own state to itself.
 */
record PlannerContext(
        PlannerSettings settings,
        DecisionTime time,
        Fleet fleet,
        TableRegistry registry,
        WarmUp warmUp,
        FleetStatistics statistics,
        FlowControl flow,
        TableWriter writer) {

    double nowMs() {
        return time.nowMs();
    }

    int operationCount() {
        return settings.operations().size();
    }
}
