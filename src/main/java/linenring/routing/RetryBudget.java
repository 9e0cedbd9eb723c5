package linenring.routing;

/**
 * Retries as a share of first attempts, over a sliding window.
 *
 * <p>It guards against a retry storm: where all hosts fail, retries multiply the load just when it can least be borne.
 * The share bounds that whatever the controller's retry policy allows, and also holds against a caller whose requests
 * fail by its own doing. It does harm where few requests come; therefore a few retries are allowed in any case.
 */
public final class RetryBudget {
    /** The window slides in tenths: a burst at its edge counts one tenth too long. */
    private static final int BUCKETS = 10;

    private final double share;
    private final int minRetries;
    private final double bucketMs;
    // All below are guarded by this.
    private final long[] firstAttempts = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long newestBucket = Long.MIN_VALUE; // counted since time 0
    private long firstAttemptsInWindow;
    private long retriesInWindow;

    /** Allows {@code share} of the first attempts of the last {@code windowMs}, and {@code minRetries} in any case. */
    public RetryBudget(double share, int minRetries, double windowMs) {
        this.share = share;
        this.minRetries = minRetries;
        bucketMs = windowMs / BUCKETS;
    }

    private void slide(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (newestBucket == Long.MIN_VALUE) {
            newestBucket = bucket;
        }
        for (long steps = Math.min(BUCKETS, bucket - newestBucket); steps > 0; steps--) {
            int oldest = Math.floorMod(bucket - steps + 1, BUCKETS);
            firstAttemptsInWindow -= firstAttempts[oldest];
            retriesInWindow -= retries[oldest];
            firstAttempts[oldest] = 0;
            retries[oldest] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket); // a clock that steps back fills the newest bucket
    }

    /** Records a first attempt. */
    public synchronized void recordFirstAttempt(double nowMs) {
        slide(nowMs);
        firstAttempts[Math.floorMod(newestBucket, BUCKETS)]++;
        firstAttemptsInWindow++;
    }

    /** Takes one retry from the budget; false if there is none left. */
    public synchronized boolean tryTakeRetry(double nowMs) {
        slide(nowMs);
        if (retriesInWindow + 1 > Math.max(minRetries, share * firstAttemptsInWindow)) {
            return false;
        }
        retries[Math.floorMod(newestBucket, BUCKETS)]++;
        retriesInWindow++;
        return true;
    }
}
