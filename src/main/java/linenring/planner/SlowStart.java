package linenring.planner;

/**
 * The weight that a host should have in a table now: its listed weight times the share that its health allows, and less while
 * it warms up. Inputs: the host's age (ms), the stated capacity of a cold host and its warming time (ms), the part of all
 * attempts that fail.
 *
 * <p>Failure guarded against: a host that has just started can do a fifth of what it does when warm. At half weight, which is
 * the design's start, it is overloaded at once: its queue grows, and its requests come late or fail. So the ramp lies under
 * the host's guaranteed capacity, and under that again when many attempts fail, since retries add to what it gets. It could do
 * harm where the stated warming time is too long: then warm hosts carry more than they need to.
 */
final class SlowStart {
    /** The design's ramp begins at half weight... */
    private static final double INITIAL_RAMP_WEIGHT = 0.5;
    /** ... and gains the other half in 10 s. */
    private static final double RAMP_MS_PER_WEIGHT = 20_000;
    /** A host that has just started gets three quarters of its guaranteed capacity. No reason is recorded for the value. */
    private static final double INITIAL_SHARE_OF_ABILITY = 0.75;
    /** A cold host keeps this much of its weight though every attempt fails: weight 0 would remove the entry. */
    private static final double MIN_SUCCESS_FACTOR = 0.01;
    /** A host's weight is cut past the windows where it should be under this part of what is written. No reason is recorded. */
    private static final double CUT_BELOW = 0.6;

    private final PlannerContext context;

    SlowStart(PlannerContext context) {
        this.context = context;
    }

    /** The weight that the host should have in the table; 0 for no entry. */
    double targetWeight(Host host, EndpointTable table) {
        if (context.registry().isSharded()) {
            return host == table.owner() ? host.weight() : 0;
        }
        if (!host.isRunning() || !table.accepts(host)) {
            return 0;
        }
        double ageMs = context.warmUp().ageMs(host);
        double healthyWeight = host.weight() * host.health().share();
        if (ageMs >= context.warmUp().rampMs()) {
            return healthyWeight;
        }
        context.statistics().refresh();
        double attempts = Math.max(
                FleetStatistics.MIN_FLEET_ATTEMPTS, context.statistics().ended());
        double successRatio = 1 - context.statistics().failed() / attempts;
        double guaranteedCapacity = context.warmUp().leastAbility(host)
                * (INITIAL_SHARE_OF_ABILITY
                        + (1 - INITIAL_SHARE_OF_ABILITY) * context.warmUp().progress(host));
        double ramp = INITIAL_RAMP_WEIGHT + ageMs / RAMP_MS_PER_WEIGHT;
        return healthyWeight * Math.min(ramp, guaranteedCapacity) * Math.max(MIN_SUCCESS_FACTOR, successRatio);
    }

    /**
     * Whether the host has a far larger weight than it should. Guards against a host that restarted, or is weak, and keeps its
     * full weight while a sub-update waits for its turn: it is a partial ejection, as the host cannot handle its weight. A cold
     * host is cut at once; a weak one only with the gap between messages.
     */
    boolean mustCut(Host host) {
        boolean isWarm = context.warmUp().isWarm(host);
        return host.isRunning()
                && !host.isEjected()
                && (host.health().share() < 1 || !isWarm)
                && context.registry().tables().stream()
                        .anyMatch(table -> targetWeight(host, table) < CUT_BELOW * table.weight(host))
                && (isWarm
                        ? context.flow().mayInterrupt(host)
                        : context.flow().mayWrite(context.registry().holdersOf(host), 1, WritePriority.URGENT));
    }

    /** Writes the host's target weight to all tables. */
    void cut(Host host) {
        context.registry()
                .tables()
                .forEach(table -> context.writer().writeEntry(host, table, targetWeight(host, table)));
    }
}
