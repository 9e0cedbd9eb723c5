package linenring.planner;

/**
 * Detects a retry storm and keeps cold hosts out of it. Inputs: the attempts that ended and failed in the fleet,
 * the relative latency of the 62nd percentile host, the request rate, and the age of hosts (ms).
 *
 * <p>Failure guarded against: most attempts fail, and proxies avoid the hosts at which their attempts failed. A
 * cold host without failures yet then receives all the traffic, regardless of its weight, and fails too: each new host
 * answers no request from its first second. The guard holds because a proxy cannot pick a cold host that is kept
 * out of the tables until the storm has ended. It would do harm where no proxy meets a host often enough to avoid
 * it: in one such fleet the exclusion of cold hosts left 48 of 120 hosts to carry the whole load. So the guard acts
 * only at a sufficient request rate per proxy, and while every table in use has a warm host.
 *
 * <p>{@link AdmissionController#retryPolicy} stops the retries in a storm.
 */
final class RetryStormGuard {
    /**
     * Time for which a retry storm is assumed after the first input, when there are no statistics; the first load
     * reports arrive within this time.
     */
    private static final double ASSUMED_STORM_AT_START_MS = 4000;
    /** Time for which a retry storm is assumed to last after its last sign. */
    private static final double STORM_DURATION_MS = 3000;
    /**
     * Failure ratio of all attempts above which there is a retry storm; the loss of a fifth of the hosts causes
     * less.
     */
    private static final double STORM_FAILURE_RATIO = 0.3;
    /** Multiple of the relative latency under low load above which the 62nd percentile host shows a retry storm. */
    private static final double STORM_SLOWDOWN_FACTOR = 4;
    /** Relative latency above which the 62nd percentile host shows a retry storm. */
    private static final double STORM_RELATIVE_LATENCY = 0.45;
    /** Baseline relative latency assumed for a fleet under low load, until load reports show a lower one. */
    private static final double INITIAL_UNLOADED_RELATIVE_LATENCY = 0.2;

    private static final double BEFORE_FIRST_INPUT = -1;

    private final PlannerContext context;
    private double stormUntilMs = BEFORE_FIRST_INPUT;
    /** Lowest baseline relative latency seen so far; it only ever falls. */
    private double unloadedRelativeLatency = INITIAL_UNLOADED_RELATIVE_LATENCY;

    RetryStormGuard(PlannerContext context) {
        this.context = context;
    }

    /** Assumes a retry storm at the first input; later calls do nothing. */
    void assumeStormAtFirstInput() {
        if (stormUntilMs < 0) {
            stormUntilMs = context.nowMs() + ASSUMED_STORM_AT_START_MS;
        }
    }

    /** Updates the state of the retry storm from the refreshed statistics. */
    void updateStormState() {
        FleetStatistics statistics = context.statistics();
        double endedAttempts = statistics.endedAttempts();
        if (endedAttempts >= FleetStatistics.MIN_FLEET_ATTEMPTS && statistics.baselineRelativeLatency() != 0) {
            unloadedRelativeLatency = Math.min(unloadedRelativeLatency, statistics.baselineRelativeLatency());
        }
        double countedAttempts = Math.max(FleetStatistics.MIN_FLEET_ATTEMPTS, endedAttempts);
        boolean isFailureRatioHigh =
                statistics.succeededAttempts() < endedAttempts - STORM_FAILURE_RATIO * countedAttempts;
        boolean isLatencyHigh = statistics.highRelativeLatency()
                > Math.max(STORM_RELATIVE_LATENCY, STORM_SLOWDOWN_FACTOR * unloadedRelativeLatency);
        if (isFailureRatioHigh || isLatencyHigh) {
            stormUntilMs = context.nowMs() + STORM_DURATION_MS;
        }
    }

    boolean isStormActive() {
        return context.nowMs() < stormUntilMs;
    }

    /** Time at which the retry storm ends without further signs, or infinity where there is none. */
    double nextDueMs() {
        return isStormActive() ? stormUntilMs : Double.POSITIVE_INFINITY;
    }

    /** Whether the cold host should be kept out of all tables, or ejected if a table has it already. */
    boolean mustKeepOut(Host host) {
        context.statistics().refresh();
        return isStormActive()
                && !context.warmUp().isWarm(host)
                && FleetStatistics.usualRequestsPerSecond(context.fleet().joinedProxies())
                        >= context.statistics().minRequestsPerSecondForProxyEjection()
                && context.registry().tables().stream()
                        .allMatch(table -> !context.registry().isInUse(table)
                                || !table.accepts(host)
                                || table.capacity().warmWeight() > 0);
    }

    /** Whether the cold host is in a table and must be ejected because of the retry storm. */
    boolean mustEject(Host host) {
        return host.isRunning()
                && !host.isEjected()
                && mustKeepOut(host)
                && !context.registry().tablesHolding(host).isEmpty()
                && context.flow().mayBypassWindows(host);
    }
}
