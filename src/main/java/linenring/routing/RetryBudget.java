package linenring.routing;

/**
 * Further tries as a share of first tries, over a sliding window of ten buckets. Where all hosts error, further tries
 * multiply the load just when it can least be borne; the share bounds that whatever the module's orders allow. It also
 * holds against a caller that errors by its own doing; it does harm where few invocations come, so a few are free.
 */
public final class RetryBudget {
    private static final int BUCKETS = 10; // the window slides in tenths: a burst at its edge counts one tenth long

    private final double share;
    private final int free;
    private final double bucketMs;
    private final long[] first = new long[BUCKETS], further = new long[BUCKETS];
    private long newest = Long.MIN_VALUE; // number of the newest bucket since time 0
    private long firsts, furthers;

    /** {@code share} of the first tries of the last {@code window} ms, and {@code free} in any case. */
    public RetryBudget(double share, int free, double window) {
        this.share = share;
        this.free = free;
        bucketMs = window / BUCKETS;
    }

    private void slide(double now) {
        long bucket = (long) Math.floor(now / bucketMs);
        if (newest == Long.MIN_VALUE) {
            newest = bucket;
        }
        for (long steps = Math.min(BUCKETS, bucket - newest); steps > 0; steps--) {
            int oldest = Math.floorMod(bucket - steps + 1, BUCKETS);
            firsts -= first[oldest];
            furthers -= further[oldest];
            first[oldest] = further[oldest] = 0;
        }
        newest = Math.max(newest, bucket); // a clock that steps back fills the newest bucket
    }

    public synchronized void first(double now) {
        slide(now);
        first[Math.floorMod(newest, BUCKETS)]++;
        firsts++;
    }

    /** Takes one further try if there is one to take. */
    public synchronized boolean take(double now) {
        slide(now);
        if (furthers + 1 > Math.max(free, share * firsts)) {
            return false;
        }
        further[Math.floorMod(newest, BUCKETS)]++;
        furthers++;
        return true;
    }
}
