package linenring.planner;

/**
 * Context shared by all mechanisms: the settings, the time of the decision, the shared state, and the flow control
 * and table writer through which the mechanisms act. Each mechanism keeps its own state to itself.
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
