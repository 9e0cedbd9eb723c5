package linenring.routing;

import java.util.BitSet;
import linenring.planner.Commands.RetryPolicy;

/**
 * Decides about one request: whether it is admitted, which host each attempt is sent to, when each attempt times out
 * and whether a failed attempt is retried. One attempt runs at a time. Calls arrive one after the other, from any
 * thread, and hold this object's lock. Times are ms on the caller's clock.
 *
 * <p>A failed attempt is retried unless one of these conditions forbids it, checked in this order:
 * <ol>
 *   <li>the client is gone or has its answer;
 *   <li>the number of retries of the controller's retry policy is reached, the request has timed out, or its body is
 *       not retained;
 *   <li>the request may have been executed, and the policy requires proof that it was not, or a retry is not safe
 *       ({@link DuplicateGuard});
 *   <li>no other host is eligible; if the request may have been executed, only hosts of the same deduplication scope
 *       are eligible;
 *   <li>the retry budget is exhausted ({@link RetryBudget}).
 * </ol>
 *
 * <p>Retries help when single hosts fail while others do not. The conditions above prevent their possible damage:
 * duplicate side effects and additional load on hosts that fail because of overload.
 *
 * <p>The gateway classifies results: {@code gateway.Responses} decides which answers of a host are failures, and
 * {@link AttemptFailure} describes what the end of an attempt proves about execution. The planner sets only the policies
 * NONE and ONE_IF_NOT_EXECUTED, so under this controller a request that a host has answered is never retried.
 */
public final class RetryDecision {
    private static final int UNASSIGNED_HOST = -1;

    private final RetryContext context;
    private final int operation;
    private final OperationPolicy policy;
    private final double deadlineMs;
    private final DuplicateGuard duplicateGuard;
    // The fields below are guarded by this object's lock.
    private final BitSet triedHosts = new BitSet();
    private int retries;
    private int host = UNASSIGNED_HOST; // host of the current or last attempt
    private double sentAtMs;
    private boolean closed;

    /**
     * Creates the decision; {@code idempotencyKey} is the key by which hosts recognize a duplicate of the request, or null.
     */
    public RetryDecision(
            RetryContext context, int operation, OperationPolicy policy, String idempotencyKey, double nowMs) {
        this.context = context;
        this.operation = operation;
        this.policy = policy;
        deadlineMs = nowMs + policy.timeoutMs();
        duplicateGuard = new DuplicateGuard(policy, operation, idempotencyKey, context, nowMs);
    }

    /** Returns the first step: admits the request and picks a host, or rejects the request. */
    public synchronized NextStep begin(double nowMs, boolean isBodyRetained) {
        double retryAfterMs = context.tables()
                .admissionRetryAfterMs(operation, nowMs, context.draw().getAsDouble());
        if (retryAfterMs > 0) {
            closed = true;
            return new NextStep.Reject(FailureReason.RATE_LIMITED, retryAfterMs);
        }
        int firstHost = pickFirstHost(nowMs);
        if (firstHost == EndpointTables.NONE) {
            closed = true;
            return new NextStep.Reject(FailureReason.NO_HOST, Double.POSITIVE_INFINITY);
        }
        context.budget().recordFirstAttempt(nowMs);
        return send(firstHost, nowMs, isBodyRetained);
    }

    /** Picks the host of the first attempt, again if a request with the same key has been sent since the first pick. */
    private int pickFirstHost(double nowMs) {
        int firstHost = pickSafeHost(nowMs);
        return firstHost == EndpointTables.NONE || duplicateGuard.tryRecordSent(firstHost, nowMs)
                ? firstHost
                : pickSafeHost(nowMs);
    }

    private int pickSafeHost(double nowMs) {
        double draw = context.draw().getAsDouble();
        return duplicateGuard.isRestrictedToScope()
                ? context.tables().pick(operation, nowMs, draw, duplicateGuard::canSendTo)
                : context.tables().pick(operation, nowMs, draw);
    }

    /** Returns the step after a failed attempt; {@code isBodyRetained}: the complete body can be sent again. */
    public synchronized NextStep attemptFailed(AttemptFailure failure, double nowMs, boolean isBodyRetained) {
        if (closed) {
            return NextStep.NOTHING;
        }
        if (failure.countsAgainstHost()) {
            context.tables().recordOutcome(host, false, nowMs);
        }
        duplicateGuard.recordFailure(failure, host, sentAtMs);
        if (canRetry(failure, nowMs, isBodyRetained)) {
            int nextHost =
                    context.tables().pick(operation, nowMs, context.draw().getAsDouble(), this::canRetryAt);
            if (nextHost != EndpointTables.NONE
                    && duplicateGuard.tryRecordSent(nextHost, nowMs)
                    && context.budget().tryTakeRetry(nowMs)) {
                retries++;
                return send(nextHost, nowMs, isBodyRetained);
            }
        }
        closed = true;
        return switch (failure.cause()) {
            case ANSWERED_ERRORED -> NextStep.FORWARD;
            case TIMED_OUT -> new NextStep.Reject(FailureReason.TIMED_OUT, Double.POSITIVE_INFINITY);
            default -> new NextStep.Reject(FailureReason.ERRORED, Double.POSITIVE_INFINITY);
        };
    }

    /** Records a successful attempt, whose answer is forwarded to the client; no retry follows. */
    public synchronized NextStep attemptSucceeded(double nowMs) {
        if (closed) {
            return NextStep.NOTHING;
        }
        closed = true;
        context.tables().recordOutcome(host, true, nowMs);
        return NextStep.FORWARD;
    }

    /**
     * Ends the request because the client is gone or gets an answer of the gateway; no retry follows. Returns false if
     * the request had ended already.
     */
    public synchronized boolean abandon() {
        boolean wasClosed = closed;
        closed = true;
        return !wasClosed;
    }

    /** Returns the number of attempts that have started. */
    public synchronized int attempts() {
        return host == UNASSIGNED_HOST ? 0 : retries + 1;
    }

    private NextStep send(int nextHost, double nowMs, boolean isBodyRetained) {
        host = nextHost;
        sentAtMs = nowMs;
        triedHosts.set(nextHost);
        return new NextStep.Send(nextHost, duplicateGuard.sendDeadlineMs(), attemptDeadlineMs(nowMs, isBodyRetained));
    }

    /**
     * Returns the time at which an attempt times out. An attempt that can be retried after a timeout gets a multiple of
     * the latency objective, so that time is left for the retry; any other attempt gets all the remaining time.
     */
    private double attemptDeadlineMs(double nowMs, boolean isBodyRetained) {
        boolean canBeRetried = context.tables().retryPolicy(operation).compareTo(RetryPolicy.ONE) >= 0
                && retries < maxRetries()
                && duplicateGuard.isSafeToRetry()
                && isBodyRetained;
        return canBeRetried
                ? Math.min(deadlineMs, nowMs + context.attemptTimeoutObjectives() * policy.latencyObjectiveMs())
                : deadlineMs;
    }

    private int maxRetries() {
        return switch (context.tables().retryPolicy(operation)) {
            case NONE -> 0;
            case ONE_IF_NOT_EXECUTED, ONE -> 1;
            case TWO -> 2;
        };
    }

    private boolean canRetry(AttemptFailure failure, double nowMs, boolean isBodyRetained) {
        if (retries >= maxRetries() || nowMs >= deadlineMs || !isBodyRetained) {
            return false;
        }
        if (failure.isProvenNotExecuted() && !duplicateGuard.hasPossibleExecution()) {
            return true;
        }
        return context.tables().retryPolicy(operation) != RetryPolicy.ONE_IF_NOT_EXECUTED
                && duplicateGuard.isSafeToRetry()
                && nowMs <= duplicateGuard.sendDeadlineMs();
    }

    private boolean canRetryAt(int candidateHost) {
        return !triedHosts.get(candidateHost) && duplicateGuard.canSendTo(candidateHost);
    }
}
