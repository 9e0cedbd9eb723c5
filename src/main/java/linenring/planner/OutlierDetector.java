package linenring.planner;

import java.util.stream.Stream;

/**
 * Detects outliers by the outcomes that all proxies report. Ejects a host at which attempts fail, restores it by a
 * probation with a small share of its weight, and halves the weight of hosts and kinds that are clearly slow.
 * Inputs: each host's outcomes (attempts, failures, relative latency), the baseline relative latency and failure
 * ratio of the fleet, and the capacity of tables (weight).
 *
 * <p>Failure guarded against: the host list only shows which processes exist. A host that fails, is unreachable or
 * is too weak for its weight stays in the list; its attempts fail or are slow while those at the best third of the
 * hosts do not. Since each host is compared with the best third, no host is ejected in an overload, where all hosts
 * are bad. Detection could do harm where a short overload of some hosts looks like weakness, or where the network
 * path is at fault and not the host. So half of the weight that each table can use always stays admitted, attempts
 * over a partitioned path do not count ({@link PartitionDetector}), and each ejection or weight reduction is later
 * reversed on trial.
 *
 * <p>Halving a weight is a decision about health; weights are not adjusted to load or speed otherwise.
 *
 * <p>In addition each proxy ejects hosts on its own by consecutive failures: {@code
 * linenring.routing.OutlierEjection}.
 */
final class OutlierDetector {
    /** Fewest failed attempts (a decaying total) for which a host is ejected. */
    private static final double MIN_FAILURES = 4;
    /** Fewest failed attempts (a decaying total) for which a host on probation is ejected, as it gets few attempts. */
    private static final double MIN_FAILURES_ON_PROBATION = 2;
    /** Failure ratio from which a host counts as failing. */
    private static final double FAILING_RATIO = 0.3;
    /** Failure ratio from which a slow host counts as failing: nearly all its attempts must fail. */
    private static final double FAILING_RATIO_OF_SLOW_HOST = 0.97;
    /** Multiple of the baseline relative latency from which a host with failures also counts as slow. */
    private static final double SLOW_FACTOR_VS_BASELINE = 1.3;
    /**
     * Added to a multiple of the baseline failure ratio, see {@link #FAILING_FACTOR_VS_BASELINE}, to get the
     * failure ratio that a failing host must reach.
     */
    private static final double FAILING_RATIO_MARGIN = 0.15;

    /**
     * Multiple of the baseline failure ratio that, together with {@link #FAILING_RATIO_MARGIN}, a failing host must
     * reach.
     */
    private static final double FAILING_FACTOR_VS_BASELINE = 2.2;
    /** Initial share of the weight on probation: about one attempt a second, which is enough to evaluate the host. */
    private static final double PROBATION_SHARE = 0.15;
    /** Shortest duration of a probation step, since load reports are up to 1.6 s late. */
    private static final double MIN_PROBATION_STEP_MS = 1500;
    /** Fewest attempts in a probation step before it is passed. */
    private static final double MIN_PROBATION_ATTEMPTS = 2;
    /** Time after which a probation step without attempts is passed. */
    private static final double MAX_PROBATION_STEP_MS = 6000;
    /** Failed probations assumed of a host that may not exist: after an ejection its first probation waits 10 s. */
    private static final int PRESUMED_FAILED_PROBATIONS = 3;

    /** Factor by which the weight of a slow host, or of each host of a slow kind, is multiplied at each detection. */
    private static final double WEIGHT_REDUCTION_FACTOR = 0.5;
    /** A weight share below this value is not halved again, so that a share is halved twice at most. */
    private static final double MIN_REDUCIBLE_SHARE = 0.3;
    /** Relative latency above which a host counts as slow. */
    private static final double SLOW_RELATIVE_LATENCY = 0.55;
    /** Multiple of the baseline relative latency above which a host counts as slow. */
    private static final double SLOW_LATENCY_FACTOR_VS_BASELINE = 1.6;
    /** Baseline relative latency from which no host counts as slow, because the whole fleet is overloaded. */
    private static final double MAX_BASELINE_RELATIVE_LATENCY = 0.5;
    /**
     * Number of attempts from which a host's relative latency counts in full; with fewer it is scaled down in
     * proportion.
     */
    private static final double FULL_EVIDENCE_ATTEMPTS = 8;
    /** Fewest attempts for which the latency of a host is evaluated. */
    private static final double MIN_ATTEMPTS_FOR_LATENCY = 4;
    /**
     * Shortest time that a reduced weight is kept after the host has settled, 48 s in all. After this time the
     * weight stays reduced until the host is faster than the baseline.
     */
    private static final double MIN_REDUCTION_DURATION_MS = 40_000;

    /**
     * Fewest attempts by which a kind is evaluated; in a full-size fleet a single host has only about two attempts
     * in a load report.
     */
    private static final double MIN_KIND_ATTEMPTS = 50;
    /** Relative latency above which a kind counts as slow. */
    private static final double SLOW_KIND_RELATIVE_LATENCY = 0.5;
    /** Multiple of another kind's relative latency above which a kind counts as slow. */
    private static final double SLOW_KIND_FACTOR_VS_OTHER = 2;
    /** Relative latency below which a kind counts as fast enough to compare a slow kind with it. */
    private static final double MAX_OTHER_KIND_RELATIVE_LATENCY = 0.35;

    /** Share of the weight that each table can use that stays admitted, however many hosts look bad. */
    private static final double MIN_ADMITTED_WEIGHT_SHARE = 0.5;

    private final PlannerContext context;

    OutlierDetector(PlannerContext context) {
        this.context = context;
    }

    /**
     * Whether the host fails more attempts than the best third of the hosts, so that it should be ejected; a host
     * that is also slow counts as failing only if at least 97% of its attempts fail.
     */
    boolean isFailing(Host host) {
        FleetStatistics statistics = context.statistics();
        double failures = host.outcomes().failed();
        double successes = host.outcomes().ended() - failures;
        statistics.refresh();
        boolean isFast = host.outcomes().successLatencyMs()
                < SLOW_FACTOR_VS_BASELINE * successes * statistics.objectiveMs() * statistics.baselineRelativeLatency();
        double ratioThreshold = isFast ? FAILING_RATIO : FAILING_RATIO_OF_SLOW_HOST;
        double thresholdVsBaseline =
                FAILING_RATIO_MARGIN + FAILING_FACTOR_VS_BASELINE * statistics.baselineFailureRatio();
        return host.isRunning()
                && !host.health().isUnhealthy()
                && failures >= (host.health().isOnProbation() ? MIN_FAILURES_ON_PROBATION : MIN_FAILURES)
                && failures >= (successes + failures) * Math.max(ratioThreshold, thresholdVsBaseline);
    }

    void markUnhealthy(Host host) {
        host.health().markUnhealthy(context.nowMs());
    }

    /** Whether an unhealthy host should be ejected now. */
    boolean mustEject(Host host) {
        return host.isRunning()
                && host.health().isUnhealthy()
                && !host.isEjected()
                && context.flow().mayBypassWindows(host)
                && leavesEnoughAdmittedWeight(host);
    }

    private boolean leavesEnoughAdmittedWeight(Host host) {
        context.statistics().refresh();
        return tablesInUse(host)
                .allMatch(table -> table.capacity().notEjectedWeight() - host.weight()
                        >= MIN_ADMITTED_WEIGHT_SHARE * table.capacity().runningWeight());
    }

    private Stream<EndpointTable> tablesInUse(Host host) {
        return context.registry().tables().stream()
                .filter(table -> context.registry().isInUse(table) && table.accepts(host));
    }

    /**
     * Whether the host is ejected as unhealthy and a table in use has no healthy host. Unhealthy hosts then serve
     * the table, because the table would otherwise have no host at all.
     */
    boolean isNeededAsLastResort(Host host) {
        return host.health().isUnhealthy()
                && host.isEjected()
                && host.isRunning()
                && tablesInUse(host).anyMatch(this::hasNoHealthyHost);
    }

    private boolean hasNoHealthyHost(EndpointTable table) {
        return context.fleet().hosts().stream()
                .noneMatch(other -> other.isRunning() && !other.health().isUnhealthy() && table.accepts(other));
    }

    /** Restores the host at its full weight at once, on probation. */
    void restoreAtFullWeight(Host host) {
        startProbationAtShare(host, 1);
    }

    boolean mayStartProbation(Host host) {
        return host.health().isUnhealthy()
                && host.isRunning()
                && context.nowMs() >= host.health().probationDueAtMs();
    }

    /**
     * Starts the probation of an ejected host with a small share of its weight, or with the reduced share of a slow
     * host.
     */
    void startProbation(Host host) {
        double shareLimit = host.health().weightShareLimit();
        startProbationAtShare(host, shareLimit < 1 ? shareLimit : PROBATION_SHARE);
    }

    /**
     * Starts the probation of a host that may not exist with a small share of its weight; if the host fails, it
     * stays ejected for 10 s or more.
     */
    void startProbationOfUnverified(Host host) {
        startProbationAtShare(host, PROBATION_SHARE);
        host.health().presumeFailedProbations(PRESUMED_FAILED_PROBATIONS);
    }

    private void startProbationAtShare(Host host, double share) {
        host.health().startProbation(context.nowMs(), share);
        context.statistics().forgetOutcomes(host);
    }

    boolean isProbationStepPassed(Host host) {
        double elapsedMs = context.nowMs() - host.health().probationSinceMs();
        boolean hasEnoughEvidence =
                host.outcomes().ended() >= MIN_PROBATION_ATTEMPTS || elapsedMs > MAX_PROBATION_STEP_MS;
        return host.health().isOnProbation() && elapsedMs > MIN_PROBATION_STEP_MS && hasEnoughEvidence;
    }

    void advanceProbation(Host host) {
        host.health().advanceProbation(context.nowMs());
    }

    /**
     * Whether the host is clearly too slow for its weight; with fewer than 8 attempts the relative latency is
     * scaled by n/8.
     */
    boolean isSlow(Host host) {
        return hasStableOutcomes(host, MIN_ATTEMPTS_FOR_LATENCY)
                && context.nowMs() > host.health().settlesAtMs()
                && host.health().weightShare() > MIN_REDUCIBLE_SHARE
                && context.statistics().baselineRelativeLatency() < MAX_BASELINE_RELATIVE_LATENCY
                && relativeLatency(host) * Math.min(1, host.outcomes().ended() / FULL_EVIDENCE_ATTEMPTS)
                        > Math.max(
                                SLOW_RELATIVE_LATENCY,
                                SLOW_LATENCY_FACTOR_VS_BASELINE
                                        * context.statistics().baselineRelativeLatency());
    }

    void halveWeight(Host host) {
        setWeightShare(host, WEIGHT_REDUCTION_FACTOR * host.health().weightShare());
    }

    /**
     * Whether the host is of a kind that is clearly slow beside another kind with low latency, where single hosts
     * have too few attempts to be evaluated.
     */
    boolean isOfSlowKind(Host host) {
        Outcomes kindOutcomes = context.statistics().outcomesOfKind(host.kind());
        double kindLatency = context.statistics().relativeLatency(kindOutcomes);
        return kindLatency > SLOW_KIND_RELATIVE_LATENCY
                && kindOutcomes.ended() >= MIN_KIND_ATTEMPTS
                && hasStableOutcomes(host, 0)
                && host.health().weightShare() == 1
                && context.nowMs() > host.health().settlesAtMs()
                && context.statistics().outcomesByKind().stream()
                        .anyMatch(otherKind -> hasLowLatency(otherKind, kindLatency));
    }

    private boolean hasLowLatency(Outcomes kindOutcomes, double latencyOfSlowKind) {
        return kindOutcomes.ended() >= MIN_KIND_ATTEMPTS
                && context.statistics().relativeLatency(kindOutcomes)
                        < Math.min(MAX_OTHER_KIND_RELATIVE_LATENCY, latencyOfSlowKind / SLOW_KIND_FACTOR_VS_OTHER);
    }

    /** Halves the weight of a host of a slow kind; the host's outcomes are kept, as they count for the kind. */
    void halveWeightForKind(Host host) {
        host.health().limitWeightShare(WEIGHT_REDUCTION_FACTOR);
    }

    /** Whether a host with a reduced weight is faster than the baseline again. */
    boolean hasRecovered(Host host) {
        return hasStableOutcomes(host, MIN_ATTEMPTS_FOR_LATENCY)
                && host.health().weightShare() < 1
                && context.nowMs() > host.health().settlesAtMs() + MIN_REDUCTION_DURATION_MS
                && relativeLatency(host) < context.statistics().baselineRelativeLatency();
    }

    void raiseWeight(Host host) {
        setWeightShare(host, Math.min(1, host.health().weightShare() / WEIGHT_REDUCTION_FACTOR));
    }

    private boolean hasStableOutcomes(Host host, double minAttempts) {
        context.statistics().refresh();
        return host.isRunning()
                && !host.health().isUnhealthy()
                && !host.health().isOnProbation()
                && context.warmUp().isWarm(host)
                && host.outcomes().ended() >= minAttempts;
    }

    private double relativeLatency(Host host) {
        return context.statistics().relativeLatency(host.outcomes());
    }

    private void setWeightShare(Host host, double share) {
        host.health().setWeightShare(context.nowMs(), share);
        context.statistics().forgetOutcomes(host);
    }
}
