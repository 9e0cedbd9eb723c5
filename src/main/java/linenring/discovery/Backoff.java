package linenring.discovery;

/**
 * How long an address is left alone between two attempts: twice as long each time, until one delivers something. Without
 * I/O and without a clock. Not thread-safe: guarded by the watch.
 */
final class Backoff {
    private static final long INITIAL_MS = 20;

    /** Discovery counts what it has to deliver as known after 6 s, whether it is polled or not: we must not be idle long. */
    private static final long MAX_MS = 500;

    /** Reading a whole list that cannot be used costs more than all else here, so it is not read again at once. */
    private static final long UNUSABLE_LIST_MS = 5000;

    private long nextDelayMs = INITIAL_MS;

    /** The delay before the next attempt; the one after it will be longer, up to the limit. */
    long nextDelayMs() {
        long delayMs = nextDelayMs;
        nextDelayMs = Math.min(MAX_MS, 2 * delayMs);
        return delayMs;
    }

    /** The address has delivered something. */
    void reset() {
        nextDelayMs = INITIAL_MS;
    }

    /** The address has sent a whole list that cannot be used: the next delay, and only that, is long. */
    void listWasUnusable() {
        nextDelayMs = UNUSABLE_LIST_MS;
    }
}
