package linenring.planner;

/**
 * Detects a retry storm and keeps cold hosts out of it. Inputs: attempts that ended and failed in the fleet, the lateness of the
 * 62nd percentile host (in objectives), requests a second, the age of hosts (ms).
 *
 * <p>Failure guarded against: most attempts fail, and proxies avoid the hosts that failed them. The one cold host that has
 * not failed yet is then sent everything, whatever its weight, and fails too; it shows as each new host that answers nothing
 * from its first second on. The guard holds because a cold host that waits outside until the storm is over cannot be chosen.
 * It does harm where no proxy meets a host often enough to avoid it: there cold hosts that were kept out left 48 of 120 to
 * carry all. So it acts only where proxies are asked often enough, and while every table in use has a warm host.
 *
 * <p>Retries in a storm are stopped elsewhere, in {@link AdmissionController#retryPolicy}.
 */
final class RetryStormGuard {
    /** Time for which a storm is assumed at the start, when nothing is known: the first reports come within it. */
    private static final double ASSUMED_AT_START_MS = 4000;
    /** Time that a storm lasts after its last sign. */
    private static final double STORM_LASTS_MS = 3000;
    /** A storm is on where a larger part of all attempts failed; a fifth of the hosts dead makes less. */
    private static final double STORM_FAILURE_RATIO = 0.3;
    /** A storm is on where the lateness of the 62nd percentile host is over this multiple of the unhurried lateness... */
    private static final double STORM_SLOWDOWN = 4;
    /** ... and over this many latency objectives. No reason is recorded for either. */
    private static final double STORM_LATENESS = 0.45;
    /** The usual lateness of an unhurried fleet until reports show it. */
    private static final double INITIAL_UNHURRIED_LATENESS = 0.2;

    private static final double NOT_STARTED = -1;

    private final PlannerContext context;
    private double stormUntilMs = NOT_STARTED;
    /** The lowest usual lateness seen: it only ever falls. */
    private double unhurriedLateness = INITIAL_UNHURRIED_LATENESS;

    RetryStormGuard(PlannerContext context) {
        this.context = context;
    }

    /** Assumes a storm at the first input; later calls do nothing. */
    void start() {
        if (stormUntilMs < 0) {
            stormUntilMs = context.nowMs() + ASSUMED_AT_START_MS;
        }
    }

    /** Looks for signs of a storm in the refreshed statistics. */
    void observe() {
        FleetStatistics statistics = context.statistics();
        double ended = statistics.ended();
        if (ended >= FleetStatistics.MIN_FLEET_ATTEMPTS && statistics.usualLateness() != 0) {
            unhurriedLateness = Math.min(unhurriedLateness, statistics.usualLateness());
        }
        double attempts = Math.max(FleetStatistics.MIN_FLEET_ATTEMPTS, ended);
        boolean mostFail = statistics.succeeded() < ended - STORM_FAILURE_RATIO * attempts;
        boolean mostAreLate = statistics.highLateness() > Math.max(STORM_LATENESS, STORM_SLOWDOWN * unhurriedLateness);
        if (mostFail || mostAreLate) {
            stormUntilMs = context.nowMs() + STORM_LASTS_MS;
        }
    }

    boolean isStorm() {
        return context.nowMs() < stormUntilMs;
    }

    /** When the storm ends by time alone, or infinity where there is none. */
    double nextDueMs() {
        return isStorm() ? stormUntilMs : Double.POSITIVE_INFINITY;
    }

    /** Whether the cold host stays out of tables, or outside if it is in one. */
    boolean holdsBack(Host host) {
        context.statistics().refresh();
        return isStorm()
                && !context.warmUp().isWarm(host)
                && FleetStatistics.usualRequestsPerSecond(context.fleet().joined())
                        >= context.statistics().requestsPerSecondToMeetEveryHost()
                && context.registry().tables().stream()
                        .allMatch(table -> !context.registry().isInUse(table)
                                || !table.accepts(host)
                                || table.capacity().warmWeight() > 0);
    }

    /** Whether the cold host is in a table and has to be ejected for the storm. */
    boolean mustEject(Host host) {
        return host.isRunning()
                && !host.isEjected()
                && holdsBack(host)
                && !context.registry().holding(host).isEmpty()
                && context.flow().mayInterrupt(host);
    }
}
