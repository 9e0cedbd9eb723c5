package linenring.planner;

import java.util.stream.Stream;

/**
 * Ejects, for all proxies, hosts at which attempts fail, tries them again by a probation with a small share of their weight, and halves the weight
 * of hosts and kinds of machines that are clearly late. Inputs: each host's outcomes (attempts, lateness in objectives), the usual
 * lateness and failure ratio of the fleet, the capacity of tables (weight).
 *
 * <p>Failure guarded against: the host list knows only of processes. A host that fails, is unreachable or too weak for its
 * weight stays in it; it shows as attempts that fail or are late there and not at the best third of the hosts. The guard holds
 * because it compares with that third: in an overload all are bad and none is ejected. It could do harm where a passing
 * overload of some hosts looks like weakness, and where the network path and not the host is at fault: so half of the weight that each
 * table can use stays in, attempts over a cut path do not count ({@link PartitionDetector}), and each verdict is tried again.
 *
 * <p>A halved weight is a verdict on health: no weight follows a load or a speed.
 *
 * <p>Beside it each proxy ejects hosts for itself, by its own consecutive failures: {@code linenring.routing.OutlierEjection}.
 */
final class OutlierDetector {
    /** Failed attempts that prove enough; like all outcomes they are decaying totals. No reason is recorded for the value. */
    private static final double MIN_FAILURES = 4;
    /** Failed attempts (a decaying total) that prove enough on probation, where few attempts come. */
    private static final double MIN_FAILURES_ON_PROBATION = 2;
    /** A host fails where this part of its attempts does; no reason is recorded for the value. */
    private static final double FAILING_RATIO = 0.3;
    /** A host that is also slow fails only where nearly all its attempts do; no reason is recorded for the value. */
    private static final double FAILING_RATIO_OF_SLOW_HOST = 0.97;
    /** Also slow: its lateness is at least this multiple of the usual one. No reason is recorded for the value. */
    private static final double SLOW_FACTOR_VS_USUAL = 1.3;
    /** A failing host's ratio is over this and some times the usual failure ratio; no reason is recorded for the values. */
    private static final double FAILING_RATIO_MARGIN = 0.15;

    /** See {@link #FAILING_RATIO_MARGIN}. */
    private static final double FAILING_TIMES_USUAL = 2.2;
    /** Share of the weight on probation: an attempt a second or so, which is enough to judge by. */
    private static final double PROBATION_SHARE = 0.15;
    /** Shortest step of the probation, as reports are up to 1.6 s late... */
    private static final double MIN_PROBATION_MS = 1500;
    /** ... and the fewest attempts that it takes... */
    private static final double MIN_PROBATION_ATTEMPTS = 2;
    /** ... but after this time the step passes without attempts. */
    private static final double SILENT_PROBATION_MS = 6000;
    /** Failed probations assumed of a host that may not exist: its first probation after an ejection starts after 10 s. */
    private static final int PRESUMED_FAILURES = 3;

    /** A slow host, or kind of machine, and each further verdict, halves the share of the weight. */
    private static final double WEIGHT_REDUCTION = 0.5;
    /** A share is halved twice at most: one under this is not halved again. */
    private static final double MIN_REDUCIBLE_SHARE = 0.3;
    /** A slow host takes more than this part of the objective (no reason is recorded for the value)... */
    private static final double SLOW_LATENESS = 0.55;
    /** ... and than this multiple of the best third's lateness (likewise)... */
    private static final double SLOW_TIMES_USUAL = 1.6;
    /** ... whose own lateness is under half: else there is an overload. */
    private static final double MAX_USUAL_LATENESS = 0.5;
    /** Lateness has its full weight from this number of attempts; below it in proportion. */
    private static final double FULL_EVIDENCE_ATTEMPTS = 8;
    /** Fewer attempts say nothing of a host's lateness. No reason is recorded for the value. */
    private static final double MIN_ATTEMPTS = 4;
    /**
     * Shortest time that a reduced weight is kept after its rest, 48 s in all; it is kept until the host is quicker than usual.
     */
    private static final double REDUCTION_LASTS_MS = 40_000;

    /** Fewest attempts by which a kind of machine is judged: at full size a host alone shows two in a report. */
    private static final double MIN_KIND_ATTEMPTS = 50;
    /** A slow kind takes more than half the objective... */
    private static final double SLOW_KIND_LATENESS = 0.5;
    /** ... and twice that of another kind... */
    private static final double SLOW_KIND_TIMES_OTHER = 2;
    /** ... which is unhurried. */
    private static final double MAX_OTHER_KIND_LATENESS = 0.35;

    /** Half of the weight that each table can use stays in, however many hosts look bad. */
    private static final double MIN_ADMITTED_WEIGHT_SHARE = 0.5;

    private final PlannerContext context;

    OutlierDetector(PlannerContext context) {
        this.context = context;
    }

    // ---- failing hosts

    /**
     * Whether attempts fail at the host, and not at the best third; a host that is also slow is ejected only if at least 97%
     * fail.
     */
    boolean isFailing(Host host) {
        FleetStatistics statistics = context.statistics();
        double failed = host.outcomes().failed();
        double succeeded = host.outcomes().ended() - failed;
        statistics.refresh();
        boolean isQuick = host.outcomes().spentMs()
                < SLOW_FACTOR_VS_USUAL * succeeded * statistics.objectiveMs() * statistics.usualLateness();
        double byItself = isQuick ? FAILING_RATIO : FAILING_RATIO_OF_SLOW_HOST;
        double besideOthers = FAILING_RATIO_MARGIN + FAILING_TIMES_USUAL * statistics.usualFailureRatio();
        return host.isRunning()
                && !host.health().isUnhealthy()
                && failed >= (host.health().isOnProbation() ? MIN_FAILURES_ON_PROBATION : MIN_FAILURES)
                && failed >= (succeeded + failed) * Math.max(byItself, besideOthers);
    }

    void markUnhealthy(Host host) {
        host.health().markUnhealthy(context.nowMs());
    }

    /** Whether an unhealthy host is to be ejected now. */
    boolean mustEject(Host host) {
        return host.isRunning()
                && host.health().isUnhealthy()
                && !host.isEjected()
                && context.flow().mayInterrupt(host)
                && canBeSpared(host);
    }

    private boolean canBeSpared(Host host) {
        context.statistics().refresh();
        return tablesInUse(host)
                .allMatch(table -> table.capacity().admittedWeight() - host.weight()
                        >= MIN_ADMITTED_WEIGHT_SHARE * table.capacity().listedWeight());
    }

    private Stream<EndpointTable> tablesInUse(Host host) {
        return context.registry().tables().stream()
                .filter(table -> context.registry().isInUse(table) && table.accepts(host));
    }

    /** Whether the host is ejected and a table in use has none but unhealthy hosts: then these serve, rather than nobody. */
    boolean isNeededThoughUnhealthy(Host host) {
        return host.health().isUnhealthy()
                && host.isEjected()
                && host.isRunning()
                && tablesInUse(host).anyMatch(this::hasNoHealthyHost);
    }

    private boolean hasNoHealthyHost(EndpointTable table) {
        return context.fleet().hosts().stream()
                .noneMatch(other -> other.isRunning() && !other.health().isUnhealthy() && table.accepts(other));
    }

    /** Gives the host its whole weight at once, on probation. */
    void restoreInFull(Host host) {
        startProbationWithShare(host, 1);
    }

    // ---- probation

    boolean mayStartProbation(Host host) {
        return host.health().isUnhealthy()
                && host.isRunning()
                && context.nowMs() >= host.health().probationDueAtMs();
    }

    /** Tries a host again with a small share of its weight, or with the half that it was given for being slow. */
    void startProbation(Host host) {
        double limit = host.health().shareLimit();
        startProbationWithShare(host, limit < 1 ? limit : PROBATION_SHARE);
    }

    /** Tries a host that may not exist with a small share; if it fails, it stays ejected 10 s or more. */
    void startProbationOfUnverified(Host host) {
        startProbationWithShare(host, PROBATION_SHARE);
        host.health().presumeFailures(PRESUMED_FAILURES);
    }

    private void startProbationWithShare(Host host, double share) {
        host.health().startProbation(context.nowMs(), share);
        context.statistics().forgetOutcomes(host);
    }

    boolean passesProbationStep(Host host) {
        double sinceMs = context.nowMs() - host.health().probationSinceMs();
        boolean isJudged = host.outcomes().ended() >= MIN_PROBATION_ATTEMPTS || sinceMs > SILENT_PROBATION_MS;
        return host.health().isOnProbation() && sinceMs > MIN_PROBATION_MS && isJudged;
    }

    void passProbationStep(Host host) {
        host.health().passProbationStep(context.nowMs());
    }

    // ---- slow hosts and kinds

    /** Whether the host is clearly too weak for its share; with fewer than 8 attempts lateness is scaled by n/8. */
    boolean isSlow(Host host) {
        return isSteady(host, MIN_ATTEMPTS)
                && context.nowMs() > host.health().restUntilMs()
                && host.health().share() > MIN_REDUCIBLE_SHARE
                && context.statistics().usualLateness() < MAX_USUAL_LATENESS
                && lateness(host) * Math.min(1, host.outcomes().ended() / FULL_EVIDENCE_ATTEMPTS)
                        > Math.max(
                                SLOW_LATENESS,
                                SLOW_TIMES_USUAL * context.statistics().usualLateness());
    }

    void halveShare(Host host) {
        setShare(host, WEIGHT_REDUCTION * host.health().share());
    }

    /** Whether the host is of a kind that is clearly late beside an unhurried one, where hosts alone show too little. */
    boolean isOfSlowKind(Host host) {
        Outcomes kind = context.statistics().ofKind(host.kind());
        double lateness = context.statistics().lateness(kind);
        return lateness > SLOW_KIND_LATENESS
                && kind.ended() >= MIN_KIND_ATTEMPTS
                && isSteady(host, 0)
                && host.health().share() == 1
                && context.nowMs() > host.health().restUntilMs()
                && context.statistics().outcomesByKind().stream().anyMatch(other -> isUnhurried(other, lateness));
    }

    private boolean isUnhurried(Outcomes kind, double latenessOfOther) {
        return kind.ended() >= MIN_KIND_ATTEMPTS
                && context.statistics().lateness(kind)
                        < Math.min(MAX_OTHER_KIND_LATENESS, latenessOfOther / SLOW_KIND_TIMES_OTHER);
    }

    /** Gives a host of a slow kind half; what was seen of it stays, as it speaks for the kind. */
    void halveForKind(Host host) {
        host.health().limitShare(WEIGHT_REDUCTION);
    }

    /** Whether a host with a reduced weight is quicker than usual again. */
    boolean hasRecovered(Host host) {
        return isSteady(host, MIN_ATTEMPTS)
                && host.health().share() < 1
                && context.nowMs() > host.health().restUntilMs() + REDUCTION_LASTS_MS
                && lateness(host) < context.statistics().usualLateness();
    }

    void raiseShare(Host host) {
        setShare(host, Math.min(1, host.health().share() / WEIGHT_REDUCTION));
    }

    private boolean isSteady(Host host, double minAttempts) {
        context.statistics().refresh();
        return host.isRunning()
                && !host.health().isUnhealthy()
                && !host.health().isOnProbation()
                && context.warmUp().isWarm(host)
                && host.outcomes().ended() >= minAttempts;
    }

    private double lateness(Host host) {
        return context.statistics().lateness(host.outcomes());
    }

    private void setShare(Host host, double share) {
        host.health().setShare(context.nowMs(), share);
        context.statistics().forgetOutcomes(host);
    }
}
