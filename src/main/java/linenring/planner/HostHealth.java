package linenring.planner;

/**
 * Health of one host by outlier detection: healthy, unhealthy until its next probation, or on probation with a
 * share of its weight. Times are milliseconds on the planner's clock.
 */
final class HostHealth {
    /** Time from the first ejection of a host to its probation. */
    private static final double FIRST_PROBATION_AFTER_MS = 3000;
    /** Factor by which each further failed probation in a row lengthens the wait for the next one. */
    private static final double PROBATION_BACKOFF = 1.5;
    /**
     * Failed probations after which the wait for the next one grows no further; a host that stays bad waits up to
     * 15 s.
     */
    private static final int MAX_BACKOFF_STEPS = 4;
    /**
     * Factor by which the weight share grows when a probation step is passed: two steps at most reach the full
     * weight, so that few messages are sent.
     */
    private static final double PROBATION_GROWTH = 4;
    /**
     * Time after a weight change in which the host's queue empties, late attempts end and reports of these attempts
     * arrive.
     */
    private static final double SETTLING_TIME_MS = 8000;

    private static final double NOT_ON_PROBATION = -1;

    private boolean unhealthy;
    private double probationDueAtMs;
    private double probationSinceMs = NOT_ON_PROBATION;
    private double settlesAtMs;
    private int consecutiveEjections;
    private double weightShare = 1;
    private double weightShareLimit = 1;

    /** Whether the host should be ejected for its health. */
    boolean isUnhealthy() {
        return unhealthy;
    }

    /** Time at which the probation of an unhealthy host is due. */
    double probationDueAtMs() {
        return probationDueAtMs;
    }

    boolean isOnProbation() {
        return probationSinceMs >= 0;
    }

    /** Start of the current probation step; only valid on probation. */
    double probationSinceMs() {
        return probationSinceMs;
    }

    /** Share of the listed weight that the host's health allows now. */
    double weightShare() {
        return weightShare;
    }

    /** Upper limit for the weight share when probation steps are passed. */
    double weightShareLimit() {
        return weightShareLimit;
    }

    /** Time until which the host's latency is not evaluated after a weight change. */
    double settlesAtMs() {
        return settlesAtMs;
    }

    /**
     * Resets the health for a new process of the host. The count of ejections is kept, so that failures of earlier
     * processes still lengthen the backoff.
     */
    void reset() {
        unhealthy = false;
        weightShare = 1;
        weightShareLimit = 1;
        probationSinceMs = NOT_ON_PROBATION;
    }

    void markUnhealthy(double nowMs) {
        unhealthy = true;
        probationSinceMs = NOT_ON_PROBATION;
        probationDueAtMs = nowMs
                + FIRST_PROBATION_AFTER_MS
                        * Math.pow(PROBATION_BACKOFF, Math.min(MAX_BACKOFF_STEPS, consecutiveEjections));
        consecutiveEjections++;
    }

    /** Starts a probation with this share of the weight. */
    void startProbation(double nowMs, double initialShare) {
        unhealthy = false;
        probationSinceMs = nowMs;
        weightShare = initialShare;
    }

    /** Makes the wait until the next probation as long as after the given number of failed probations. */
    void presumeFailedProbations(int failedProbations) {
        consecutiveEjections = failedProbations;
    }

    /** Passes a probation step: the weight share grows, and at its limit the probation ends. */
    void advanceProbation(double nowMs) {
        weightShare = Math.min(weightShareLimit, PROBATION_GROWTH * weightShare);
        boolean isStillOnProbation = weightShare < weightShareLimit;
        probationSinceMs = isStillOnProbation ? nowMs : NOT_ON_PROBATION;
        consecutiveEjections = isStillOnProbation ? consecutiveEjections : Math.max(0, consecutiveEjections - 1);
    }

    /** Sets the weight share and its limit, and pauses the evaluation of latency until the host has settled. */
    void setWeightShare(double nowMs, double newShare) {
        limitWeightShare(newShare);
        settlesAtMs = nowMs + SETTLING_TIME_MS;
    }

    /** Sets the weight share and its limit. */
    void limitWeightShare(double newShare) {
        weightShare = newShare;
        weightShareLimit = newShare;
    }
}
