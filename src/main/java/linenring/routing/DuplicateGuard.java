package linenring.routing;

/**
 * Tracks where and since when one request may have been executed, and decides which retries of it are safe.
 *
 * <p>The guard prevents duplicate side effects, such as a second booking when the first host executed the request and
 * then lost its connection. Hosts drop a duplicate by its idempotency key, but only within their deduplication scope
 * and deduplication window. A retry therefore stays in the scope of the first host that may have executed the request,
 * and is sent before the window that started there has nearly ended. If that host did not execute the request after
 * all, the request fails although another host could have served it. The same holds for the first attempt of a request that
 * a client repeats with its key, see {@link RecentExecutions}. Not thread-safe: its {@link RetryDecision} holds
 * the lock.
 */
final class DuplicateGuard {
    /**
     * Fraction of the deduplication window that is reserved for network latency: a retry takes longer to arrive than
     * the first attempt by less than this time.
     */
    private static final double WINDOW_MARGIN = 0.2;

    private final OperationPolicy policy;
    private final int operation;
    private final String idempotencyKey; // null if the request has none
    private final HostRegistry hosts;
    private final RecentExecutions recentExecutions;
    private RecentExecutions.Execution firstPossibleExecution; // null if the request was certainly not executed
    private boolean hasPossibleExecution; // one of this request's own attempts may have been executed

    /** Creates the guard of a request; {@code idempotencyKey} is null if the request has none. */
    DuplicateGuard(OperationPolicy policy, int operation, String idempotencyKey, RetryContext context, double nowMs) {
        this.policy = policy;
        this.operation = operation;
        this.idempotencyKey = idempotencyKey;
        hosts = context.hosts();
        recentExecutions = context.recentExecutions();
        if (isRecognizedByKey()) { // the client may be repeating a request
            firstPossibleExecution =
                    recentExecutions.find(operation, idempotencyKey, nowMs).orElse(null);
        }
    }

    private boolean isRecognizedByKey() {
        return policy.idempotence() == Idempotence.FINGERPRINTED && idempotencyKey != null;
    }

    /**
     * Records that an attempt is sent to {@code host} and returns true, or returns false if a request with the same key was sent
     * meanwhile to a host that does not share its keys; only hosts that share them are safe then.
     */
    boolean tryRecordSent(int host, double sentAtMs) {
        if (isRecognizedByKey() && firstPossibleExecution == null) {
            RecentExecutions.Execution execution = new RecentExecutions.Execution(host, sentAtMs);
            RecentExecutions.Execution remembered =
                    recentExecutions.remember(operation, idempotencyKey, execution, policy.deduplicationWindowMs());
            firstPossibleExecution = remembered.equals(execution) ? null : remembered;
        }
        return canSendTo(host);
    }

    /** Records a failed attempt that was sent to {@code host} at {@code sentAtMs}. */
    void recordFailure(AttemptFailure failure, int host, double sentAtMs) {
        RecentExecutions.Execution execution = new RecentExecutions.Execution(host, sentAtMs);
        if (!failure.isProvenNotExecuted()) {
            hasPossibleExecution = true;
            firstPossibleExecution = firstPossibleExecution == null ? execution : firstPossibleExecution;
        } else if (isRecognizedByKey()) {
            recentExecutions.forget(operation, idempotencyKey, execution);
        }
    }

    /** Whether one of the request's attempts may have been executed. */
    boolean hasPossibleExecution() {
        return hasPossibleExecution;
    }

    /** Whether the request is idempotent or carries an idempotency key, so that a second execution does no harm. */
    boolean isSafeToRetry() {
        return switch (policy.idempotence()) {
            case IDEMPOTENT -> true;
            case FINGERPRINTED -> idempotencyKey != null;
            case SIDE_EFFECTING -> false;
        };
    }

    /** Returns the latest time at which a retry may be sent; infinity if there is no limit. */
    double sendDeadlineMs() {
        return hasPossibleExecution && policy.idempotence() == Idempotence.FINGERPRINTED
                ? firstPossibleExecution.sentAtMs() + policy.deduplicationWindowMs() * (1 - WINDOW_MARGIN)
                : Double.POSITIVE_INFINITY;
    }

    /** Whether only hosts are safe that share their idempotency keys with a host that may have executed the request. */
    boolean isRestrictedToScope() {
        return firstPossibleExecution != null && policy.idempotence() == Idempotence.FINGERPRINTED;
    }

    /** Whether an attempt at this host is safe: the host recognizes a duplicate of the request or does not need to. */
    boolean canSendTo(int host) {
        return !isRestrictedToScope()
                || hosts.shareIdempotencyKeys(policy.deduplicationScope(), firstPossibleExecution.host(), host);
    }
}
