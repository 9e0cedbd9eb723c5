package linenring.routing;

/**
 * Tracks where and since when one request may have been executed, and decides which retries of it are safe.
 *
 * <p>The guard prevents duplicate side effects, such as a second booking when the first host executed the request and
 * then lost its connection. Hosts drop a duplicate by its idempotency key, but only within their deduplication scope
 * and deduplication window. A retry therefore stays in the scope of the first host that may have executed the request,
 * and is sent before the window that started there has nearly ended. If that host did not execute the request after
 * all, the request fails although another host could have served it. Not thread-safe: its {@link RetryDecision} holds
 * the lock.
 */
final class DuplicateGuard {
    /**
     * Fraction of the deduplication window that is reserved for network latency: a retry takes longer to arrive than
     * the first attempt by less than this time.
     */
    private static final double WINDOW_MARGIN = 0.2;

    private static final int UNASSIGNED_HOST = -1;

    private final OperationPolicy policy;
    private final boolean hasIdempotencyKey;
    private final HostRegistry hosts;
    private int firstPossibleExecutor = UNASSIGNED_HOST; // the first host that may have executed the request
    private double firstPossibleExecutionMs; // when the request was sent to that host

    DuplicateGuard(OperationPolicy policy, boolean hasIdempotencyKey, HostRegistry hosts) {
        this.policy = policy;
        this.hasIdempotencyKey = hasIdempotencyKey;
        this.hosts = hosts;
    }

    /** Records a failed attempt that was sent to {@code host} at {@code sentAtMs}. */
    void recordFailure(AttemptFailure failure, int host, double sentAtMs) {
        if (!failure.isProvenNotExecuted() && !hasPossibleExecution()) {
            firstPossibleExecutor = host;
            firstPossibleExecutionMs = sentAtMs;
        }
    }

    boolean hasPossibleExecution() {
        return firstPossibleExecutor != UNASSIGNED_HOST;
    }

    /** Whether the request is idempotent or carries an idempotency key, so that a second execution does no harm. */
    boolean isSafeToRetry() {
        return switch (policy.idempotence()) {
            case IDEMPOTENT -> true;
            case FINGERPRINTED -> hasIdempotencyKey;
            case SIDE_EFFECTING -> false;
        };
    }

    /** Returns the latest time at which a retry may be sent; infinity if there is no limit. */
    double sendDeadlineMs() {
        return hasPossibleExecution() && policy.idempotence() == Idempotence.FINGERPRINTED
                ? firstPossibleExecutionMs + policy.deduplicationWindowMs() * (1 - WINDOW_MARGIN)
                : Double.POSITIVE_INFINITY;
    }

    /** Whether a retry at this host is safe: the host recognizes a duplicate of the request or does not need to. */
    boolean canRetryAt(int host) {
        return !hasPossibleExecution()
                || policy.idempotence() != Idempotence.FINGERPRINTED
                || hosts.shareIdempotencyKeys(policy.deduplicationScope(), firstPossibleExecutor, host);
    }
}
