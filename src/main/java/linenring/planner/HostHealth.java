package linenring.planner;

/**
 * What the planner has concluded about the health of one host: healthy, unhealthy until its next probation, or on probation with a share
 * of its weight. Times are milliseconds on the planner's clock.
 */
final class HostHealth {
    /** Wait from the first ejection to its probation. No reason is recorded for the value. */
    private static final double FIRST_PROBATION_AFTER_MS = 3000;
    /** Each failed probation in a row lengthens the next wait by this factor. No reason is recorded for the value. */
    private static final double PROBATION_BACKOFF = 1.5;
    /** Failed probations after which the wait grows no further: up to 15 s for what stays bad. */
    private static final int MAX_BACKOFF_STEPS = 4;
    /** A probation that is passed lets the share grow fourfold: two steps at most, so that few messages are spent. */
    private static final double PROBATION_GROWTH = 4;
    /** After a change of weight the host's queue empties, late attempts end and reports of them come in. */
    private static final double REST_AFTER_CHANGE_MS = 8000;

    private static final double NOT_ON_PROBATION = -1;

    private boolean unhealthy;
    private double probationDueAtMs;
    private double probationSinceMs = NOT_ON_PROBATION;
    private double restUntilMs;
    private int consecutiveFailures;
    private double share = 1;
    private double shareLimit = 1;

    /** Whether it is to be ejected for its health. */
    boolean isUnhealthy() {
        return unhealthy;
    }

    /** When the probation of an unhealthy host is due. */
    double probationDueAtMs() {
        return probationDueAtMs;
    }

    boolean isOnProbation() {
        return probationSinceMs >= 0;
    }

    /** Start of the current step of the probation; only on probation. */
    double probationSinceMs() {
        return probationSinceMs;
    }

    /** The part of its listed weight that its health allows now. */
    double share() {
        return share;
    }

    /** What its share may grow to by probation. */
    double shareLimit() {
        return shareLimit;
    }

    /** Until then its lateness is not judged. */
    double restUntilMs() {
        return restUntilMs;
    }

    /** Its process is a new one, about which nothing is known; what its id has failed before still lengthens the backoff. */
    void forget() {
        unhealthy = false;
        share = 1;
        shareLimit = 1;
        probationSinceMs = NOT_ON_PROBATION;
    }

    void markUnhealthy(double nowMs) {
        unhealthy = true;
        probationSinceMs = NOT_ON_PROBATION;
        probationDueAtMs = nowMs
                + FIRST_PROBATION_AFTER_MS
                        * Math.pow(PROBATION_BACKOFF, Math.min(MAX_BACKOFF_STEPS, consecutiveFailures));
        consecutiveFailures++;
    }

    /** Begins a probation with this share of the weight. */
    void startProbation(double nowMs, double initialShare) {
        unhealthy = false;
        probationSinceMs = nowMs;
        share = initialShare;
    }

    /** Its next probation waits as after this number of failed ones. */
    void presumeFailures(int failures) {
        consecutiveFailures = failures;
    }

    /** One step of the probation is passed: a larger share, or the end of it. */
    void passProbationStep(double nowMs) {
        share = Math.min(shareLimit, PROBATION_GROWTH * share);
        boolean goesOn = share < shareLimit;
        probationSinceMs = goesOn ? nowMs : NOT_ON_PROBATION;
        consecutiveFailures = goesOn ? consecutiveFailures : Math.max(0, consecutiveFailures - 1);
    }

    /** Gives it this share and no more, and judges its lateness again after a rest. */
    void setShare(double nowMs, double newShare) {
        limitShare(newShare);
        restUntilMs = nowMs + REST_AFTER_CHANGE_MS;
    }

    /** Gives it this share and no more. */
    void limitShare(double newShare) {
        share = newShare;
        shareLimit = newShare;
    }
}
