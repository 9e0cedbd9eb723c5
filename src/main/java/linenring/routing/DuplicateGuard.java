package linenring.routing;

/**
 * Where and since when one request may have been executed, and so which repeats of it are safe.
 *
 * <p>It guards against an effect that happens twice: a booking, say, whose first host lost its connection after it had
 * executed the request. Hosts drop a repeat by its idempotency key, but only in their group and inside their window;
 * therefore a repeat stays in the group of the first host that may have executed the request, and sets out before the
 * window that began there is nearly over. It does harm where no execution happened after all: the request then fails
 * though another host could have served it. Not thread-safe: its {@link RetryDecision} holds the lock.
 */
final class DuplicateGuard {
    /** Share of the deduplication window reserved for the repeat's transit, which exceeds the first attempt's by less. */
    private static final double WINDOW_MARGIN = 0.2;

    private static final int NOWHERE = -1;

    private final OperationPolicy policy;
    private final boolean hasIdempotencyKey;
    private final HostRegistry hosts;
    private int mayHaveRunAt = NOWHERE; // the first host that may have executed it
    private double mayHaveRunSinceMs; // when it was sent there

    DuplicateGuard(OperationPolicy policy, boolean hasIdempotencyKey, HostRegistry hosts) {
        this.policy = policy;
        this.hasIdempotencyKey = hasIdempotencyKey;
        this.hosts = hosts;
    }

    /** A failed attempt that was sent to a host at this time. */
    void recordFailure(AttemptFailure failure, int host, double sentAtMs) {
        if (!failure.isProvenNotExecuted() && !mayHaveRun()) {
            mayHaveRunAt = host;
            mayHaveRunSinceMs = sentAtMs;
        }
    }

    boolean mayHaveRun() {
        return mayHaveRunAt != NOWHERE;
    }

    /** Whether hosts can cope with a repeat at all. */
    boolean isRepeatable() {
        return switch (policy.idempotence()) {
            case IDEMPOTENT -> true;
            case FINGERPRINTED -> hasIdempotencyKey;
            case SIDE_EFFECTING -> false;
        };
    }

    /** Until when a repeat may set out. */
    double sendByMs() {
        return mayHaveRun() && policy.idempotence() == Idempotence.FINGERPRINTED
                ? mayHaveRunSinceMs + policy.deduplicationWindowMs() * (1 - WINDOW_MARGIN)
                : Double.POSITIVE_INFINITY;
    }

    /** Whether a repeat at this host would be recognised, or need not be. */
    boolean allows(int host) {
        return !mayHaveRun()
                || policy.idempotence() != Idempotence.FINGERPRINTED
                || hosts.deduplicateTogether(policy.deduplicationScope(), mayHaveRunAt, host);
    }
}
