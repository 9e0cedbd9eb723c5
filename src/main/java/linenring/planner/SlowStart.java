package linenring.planner;

/**
 * Computes the weight that a host should have in a table: its listed weight times the share that its health allows,
 * reduced while the host warms up. Inputs: the host's age (ms), the guaranteed capacity of a cold host, its warming
 * time (ms), and the ratio of attempts that fail.
 *
 * <p>Failure guarded against: a host that has just started has a fifth of its warm capacity. The design's slow
 * start begins at half weight, which overloads the host at once: its queue grows, and its requests come late or
 * fail. So the weight ramp stays below the host's guaranteed capacity. It is reduced further when many attempts
 * fail, since retries add to the host's traffic. Slow start could do harm where the stated warming time is too
 * long: warm hosts then carry more load than necessary.
 */
final class SlowStart {
    /** Share of the weight at which the design's slow start ramp begins. */
    private static final double INITIAL_RAMP_WEIGHT = 0.5;
    /** Time in which the slow start ramp gains a full weight; it starts at half weight and thus takes 10 s. */
    private static final double RAMP_MS_PER_WEIGHT = 20_000;
    /** Share of its guaranteed capacity that a host gets when it has just started. */
    private static final double INITIAL_SHARE_OF_GUARANTEED_CAPACITY = 0.75;
    /**
     * Smallest factor for the weight of a cold host by failed attempts, for the case that every attempt fails;
     * weight 0 would remove the entry.
     */
    private static final double MIN_SUCCESS_FACTOR = 0.01;
    /**
     * A host's weight is cut regardless of the proxies' windows when its target weight is below this share of the
     * weight that was last written.
     */
    private static final double CUT_THRESHOLD_RATIO = 0.6;

    private final PlannerContext context;

    SlowStart(PlannerContext context) {
        this.context = context;
    }

    /** Returns the weight that the host should have in the table; 0 for no entry. */
    double targetWeight(Host host, EndpointTable table) {
        if (context.registry().isSharded()) {
            return host == table.owner() ? host.weight() : 0;
        }
        if (!host.isRunning() || !table.accepts(host)) {
            return 0;
        }
        double ageMs = context.warmUp().ageMs(host);
        double healthyWeight = host.weight() * host.health().weightShare();
        if (ageMs >= context.warmUp().rampMs()) {
            return healthyWeight;
        }
        context.statistics().refresh();
        double attempts = Math.max(
                FleetStatistics.MIN_FLEET_ATTEMPTS, context.statistics().endedAttempts());
        double successRatio = 1 - context.statistics().failedAttempts() / attempts;
        double capacityLimit = context.warmUp().guaranteedCapacity(host)
                * (INITIAL_SHARE_OF_GUARANTEED_CAPACITY
                        + (1 - INITIAL_SHARE_OF_GUARANTEED_CAPACITY)
                                * context.warmUp().warmUpProgress(host));
        double ramp = INITIAL_RAMP_WEIGHT + ageMs / RAMP_MS_PER_WEIGHT;
        return healthyWeight * Math.min(ramp, capacityLimit) * Math.max(MIN_SUCCESS_FACTOR, successRatio);
    }

    /**
     * Whether the written weight of the host is far above its target weight. Guards against a host that restarted,
     * or is weak, and keeps its full weight while a sub-update waits for its turn. The cut acts as a partial
     * ejection, as the host cannot handle its weight. A cold host is cut at once; a weak host only with the minimum
     * gap between messages.
     */
    boolean mustCutWeight(Host host) {
        boolean isWarm = context.warmUp().isWarm(host);
        return host.isRunning()
                && !host.isEjected()
                && (host.health().weightShare() < 1 || !isWarm)
                && context.registry().tables().stream()
                        .anyMatch(table -> targetWeight(host, table) < CUT_THRESHOLD_RATIO * table.weight(host))
                && (isWarm
                        ? context.flow().mayBypassWindows(host)
                        : context.flow().mayWrite(context.registry().proxiesHolding(host), 1, WritePriority.URGENT));
    }

    /** Writes the host's target weight to all tables. */
    void cutWeight(Host host) {
        context.registry()
                .tables()
                .forEach(table -> context.writer().writeEntry(host, table, targetWeight(host, table)));
    }
}
