package linenring.routing;

/**
 * A retry budget: limits retries to a fraction of the first attempts in a sliding window.
 *
 * <p>The budget prevents a retry storm: when all hosts fail, retries multiply the load during an overload. It limits
 * retries under any retry policy of the controller, and also for a client whose requests fail through its own fault.
 * At a low request rate the fraction would allow almost no retries, so a minimum number of retries is always allowed.
 */
public final class RetryBudget {
    /**
     * Number of buckets of the sliding window; a burst at the edge of the window counts for up to one bucket too long.
     */
    private static final int BUCKETS = 10;

    private final double share;
    private final int minRetries;
    private final double bucketMs;
    // The fields below are guarded by this object's lock.
    private final long[] firstAttempts = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long newestBucketNumber = Long.MIN_VALUE; // number of the bucket, counted from time 0
    private long firstAttemptsInWindow;
    private long retriesInWindow;

    /**
     * Allows retries up to {@code share} of the first attempts in {@code windowMs}, and at least {@code minRetries}.
     */
    public RetryBudget(double share, int minRetries, double windowMs) {
        this.share = share;
        this.minRetries = minRetries;
        bucketMs = windowMs / BUCKETS;
    }

    private void advanceWindow(double nowMs) {
        long bucket = (long) Math.floor(nowMs / bucketMs);
        if (newestBucketNumber == Long.MIN_VALUE) {
            newestBucketNumber = bucket;
        }
        for (long steps = Math.min(BUCKETS, bucket - newestBucketNumber); steps > 0; steps--) {
            int oldest = Math.floorMod(bucket - steps + 1, BUCKETS);
            firstAttemptsInWindow -= firstAttempts[oldest];
            retriesInWindow -= retries[oldest];
            firstAttempts[oldest] = 0;
            retries[oldest] = 0;
        }
        newestBucketNumber = Math.max(newestBucketNumber, bucket); // if the clock steps back, the newest bucket is used
    }

    /** Records the first attempt of a request. */
    public synchronized void recordFirstAttempt(double nowMs) {
        advanceWindow(nowMs);
        firstAttempts[Math.floorMod(newestBucketNumber, BUCKETS)]++;
        firstAttemptsInWindow++;
    }

    /** Takes one retry from the budget; false if the budget is exhausted. */
    public synchronized boolean tryTakeRetry(double nowMs) {
        advanceWindow(nowMs);
        if (retriesInWindow + 1 > Math.max(minRetries, share * firstAttemptsInWindow)) {
            return false;
        }
        retries[Math.floorMod(newestBucketNumber, BUCKETS)]++;
        retriesInWindow++;
        return true;
    }
}
