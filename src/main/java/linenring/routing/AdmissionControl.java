package linenring.routing;

import linenring.planner.PlannerSettings.Measure;

/**
 * How much of one operation is admitted at one proxy, as the controller ordered it: a share of the requests, drawn anew
 * for each, or a rate in requests per second.
 *
 * <p>It guards the hosts against more load than they can carry; that shows as rising latency and errors at all of them.
 * A rate is kept by a token bucket, so that what is shed is shed within the controller's next report. It does harm where
 * callers' bursts are longer than the bucket: a burst is then rejected though the mean rate is allowed.
 */
final class AdmissionControl {
    /** Admits everything. */
    static final AdmissionControl ADMIT_ALL = new AdmissionControl(1, Measure.NONE);

    /** What the bucket holds, in seconds of its rate: callers' bursts are shorter. */
    private static final double BUCKET_SECONDS = 0.25;

    /** A bucket always holds one token, or a rate under {@code 1 / BUCKET_SECONDS} would admit nothing. */
    private static final double MIN_BUCKET_TOKENS = 1;

    private static final double MILLIS_PER_SECOND = 1000;

    private final double limit; // a share in [0, 1], or requests per second
    private final Measure measure;
    private double tokens; // guarded by this
    private double filledAtMs = Double.NaN; // guarded by this; NaN until the first request

    AdmissionControl(double limit, Measure measure) {
        this.limit = limit;
        this.measure = measure;
        tokens = bucketTokens();
    }

    private double bucketTokens() {
        return Math.max(MIN_BUCKET_TOKENS, limit * BUCKET_SECONDS);
    }

    /** 0 if the request is admitted, else ms after which it is worth trying again; infinity where that is not known. */
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
        if (!Double.isNaN(filledAtMs)) {
            tokens = Math.min(bucketTokens(), tokens + (nowMs - filledAtMs) / MILLIS_PER_SECOND * limit);
        }
        filledAtMs = nowMs;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return (1 - tokens) / limit * MILLIS_PER_SECOND;
    }

    /** The control for a newly ordered limit; an unchanged one goes on with the tokens it has. */
    AdmissionControl withLimit(double newLimit, Measure newMeasure) {
        boolean unchanged = limit == newLimit && measure == newMeasure;
        return unchanged ? this : new AdmissionControl(newLimit, newMeasure);
    }
}
