package linenring.discovery;

/**
 * Delay between two connection attempts to an agent: doubles after each attempt, and is reset once an attempt has received
 * data. Uses neither I/O nor a clock. Not thread-safe; guarded by the monitor of {@link WatchState}.
 */
final class Backoff {
    private static final long INITIAL_DELAY_MS = 20;

    /** Discovery assumes that a change has reached its watchers after 6 s, connected or not, so pauses have to be short. */
    private static final long MAX_DELAY_MS = 500;

    /** Reading an unusable complete list is expensive, so the list is not requested again at once. */
    private static final long UNUSABLE_LIST_DELAY_MS = 5000;

    private long nextDelayMs = INITIAL_DELAY_MS;

    /** Returns the delay before the next attempt, and doubles the delay of the following attempt up to the limit. */
    long nextDelayMs() {
        long delayMs = nextDelayMs;
        nextDelayMs = Math.min(MAX_DELAY_MS, 2 * delayMs);
        return delayMs;
    }

    /** Resets the delay after an attempt that received data. */
    void reset() {
        nextDelayMs = INITIAL_DELAY_MS;
    }

    /** Uses a long delay before the next attempt only, since the agent has sent an unusable complete list. */
    void recordUnusableList() {
        nextDelayMs = UNUSABLE_LIST_DELAY_MS;
    }
}
