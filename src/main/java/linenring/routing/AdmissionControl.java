package linenring.routing;

import linenring.planner.PlannerSettings.AdmissionUnit;

/**
 * Admission control for one operation at one proxy, with the limit that the controller has set: either a fraction of
 * the requests, decided at random for each request, or a rate in requests per second.
 *
 * <p>Admission control protects hosts from more load than they can serve; overload shows as rising latency and errors
 * on all hosts. A token bucket enforces the rate, so that load shedding shows in the next load report to the
 * controller. The bucket rejects a burst of requests that is longer than its capacity, even when the mean rate is
 * within the limit.
 */
final class AdmissionControl {
    /** Admits every request. */
    static final AdmissionControl ADMIT_ALL = new AdmissionControl(1, AdmissionUnit.NONE);

    /** Capacity of the token bucket, in seconds of its rate; bursts of callers are shorter. */
    private static final double BUCKET_SECONDS = 0.25;

    /**
     * Minimum capacity of the token bucket; with less than 1 a rate below {@code 1 / BUCKET_SECONDS} would admit
     * nothing.
     */
    private static final double MIN_BUCKET_TOKENS = 1;

    private static final double MILLIS_PER_SECOND = 1000;

    private final double limit; // admitted fraction in [0, 1], or requests per second
    private final AdmissionUnit measure;
    private double tokens; // guarded by this object's lock
    private double lastRefillMs = Double.NaN; // guarded by this object's lock; NaN until the first request

    AdmissionControl(double limit, AdmissionUnit measure) {
        this.limit = limit;
        this.measure = measure;
        tokens = bucketCapacityTokens();
    }

    private double bucketCapacityTokens() {
        return Math.max(MIN_BUCKET_TOKENS, limit * BUCKET_SECONDS);
    }

    /**
     * Returns 0 if the request is admitted, and otherwise the time in ms after which the client can retry; infinity if
     * that time is unknown.
     */
    double retryAfterMs(double nowMs, double draw) {
        return switch (measure) {
            case NONE -> 0;
            case SHARE -> draw < limit ? 0 : Double.POSITIVE_INFINITY;
            case PER_SECOND -> takeToken(nowMs);
        };
    }

    private synchronized double takeToken(double nowMs) {
        if (limit <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        if (!Double.isNaN(lastRefillMs)) {
            tokens = Math.min(bucketCapacityTokens(), tokens + (nowMs - lastRefillMs) / MILLIS_PER_SECOND * limit);
        }
        lastRefillMs = nowMs;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return (1 - tokens) / limit * MILLIS_PER_SECOND;
    }

    /** Returns the admission control for a new limit; an unchanged limit keeps this object and its tokens. */
    AdmissionControl withLimit(double newLimit, AdmissionUnit newMeasure) {
        boolean isUnchanged = limit == newLimit && measure == newMeasure;
        return isUnchanged ? this : new AdmissionControl(newLimit, newMeasure);
    }
}
