package linenring.routing;

import java.util.BitSet;
import linenring.planner.Commands.RetryPolicy;

/**
 * The decisions about one request: whether it is admitted, which host gets each attempt and how long, and when it is
 * over. One attempt runs at a time. Calls come one after the other, from any thread, and hold this object's lock. Times
 * are ms on the caller's clock.
 *
 * <p>A failed attempt is followed by another unless one of these forbids it, checked in this order:
 * <ol>
 *   <li>the client is gone or has its answer;
 *   <li>the controller's retry policy is used up, the timeout is over, or the body is not retained;
 *   <li>it may have been executed, and the policy demands proof that it was not, or a repeat is not safe
 *       ({@link DuplicateGuard});
 *   <li>no other host is eligible, of the same deduplication scope where it may have been executed;
 *   <li>the retry budget is spent ({@link RetryBudget}).
 * </ol>
 *
 * <p>Retries guard against single hosts that fail while others do not; what they could harm is what these rules exclude:
 * an effect twice, and load on hosts that fail by overload.
 *
 * <p>The gateway classifies results: {@code gateway.Responses} says which answers of a host are failures, and
 * {@link AttemptFailure} what the end of an attempt proves about execution. The planner commands only NONE and
 * ONE_IF_NOT_EXECUTED, so that under this controller no answer of a host is followed by a retry.
 */
public final class RetryDecision {
    private static final int UNASSIGNED = -1;

    private final RetryContext context;
    private final int operation;
    private final OperationPolicy policy;
    private final double deadlineMs;
    private final DuplicateGuard duplicateGuard;
    // All below are guarded by this.
    private final BitSet triedHosts = new BitSet();
    private int retries;
    private int host = UNASSIGNED; // of the latest attempt
    private double sentAtMs;
    private boolean over;

    /** {@code hasIdempotencyKey}: the request carries the key by which hosts recognise a repeat. */
    public RetryDecision(
            RetryContext context, int operation, OperationPolicy policy, boolean hasIdempotencyKey, double nowMs) {
        this.context = context;
        this.operation = operation;
        this.policy = policy;
        deadlineMs = nowMs + policy.timeoutMs();
        duplicateGuard = new DuplicateGuard(policy, hasIdempotencyKey, context.hosts());
    }

    /** The first step: admits the request and picks a host, or rejects it. */
    public synchronized NextStep begin(double nowMs, boolean bodyRetained) {
        double retryAfterMs = context.tables()
                .admissionRetryAfterMs(operation, nowMs, context.draw().getAsDouble());
        if (retryAfterMs > 0) {
            over = true;
            return new NextStep.Reject(FailureReason.RATE_LIMITED, retryAfterMs);
        }
        int first = context.tables().pick(operation, nowMs, context.draw().getAsDouble());
        if (first == Tables.NONE) {
            over = true;
            return new NextStep.Reject(FailureReason.NO_HOST, Double.POSITIVE_INFINITY);
        }
        context.budget().recordFirstAttempt(nowMs);
        return send(first, nowMs, bodyRetained);
    }

    /** The step after a failed attempt; {@code bodyRetained}: the whole body can be sent again. */
    public synchronized NextStep attemptFailed(AttemptFailure failure, double nowMs, boolean bodyRetained) {
        if (over) {
            return NextStep.NOTHING;
        }
        if (failure.countsAgainstHost()) {
            context.tables().recordOutcome(host, false, nowMs);
        }
        duplicateGuard.recordFailure(failure, host, sentAtMs);
        if (mayRetry(failure, nowMs, bodyRetained)) {
            int next = context.tables().pick(operation, nowMs, context.draw().getAsDouble(), this::mayRetryAt);
            if (next != Tables.NONE && context.budget().tryTakeRetry(nowMs)) {
                retries++;
                return send(next, nowMs, bodyRetained);
            }
        }
        over = true;
        return switch (failure.cause()) {
            case ANSWERED_ERRORED -> NextStep.FORWARD;
            case TIMED_OUT -> new NextStep.Reject(FailureReason.TIMED_OUT, Double.POSITIVE_INFINITY);
            default -> new NextStep.Reject(FailureReason.ERRORED, Double.POSITIVE_INFINITY);
        };
    }

    /** The host's answer is good and goes to the client: nothing is tried after this. */
    public synchronized NextStep attemptSucceeded(double nowMs) {
        if (over) {
            return NextStep.NOTHING;
        }
        over = true;
        context.tables().recordOutcome(host, true, nowMs);
        return NextStep.FORWARD;
    }

    /** The client is gone, or gets an answer of the gateway: nothing is tried after this. False if it was over. */
    public synchronized boolean abandon() {
        boolean wasOver = over;
        over = true;
        return !wasOver;
    }

    /** Attempts begun so far. */
    public synchronized int attempts() {
        return host == UNASSIGNED ? 0 : retries + 1;
    }

    private NextStep send(int next, double nowMs, boolean bodyRetained) {
        host = next;
        sentAtMs = nowMs;
        triedHosts.set(next);
        return new NextStep.Send(next, duplicateGuard.sendByMs(), giveUpAtMs(nowMs, bodyRetained));
    }

    /**
     * An attempt that may be followed by another even though it may have been executed gets some latency objectives, so
     * that time is left for the other one; any other attempt gets all the time there is.
     */
    private double giveUpAtMs(double nowMs, boolean bodyRetained) {
        boolean mayBeFollowed = context.tables().retryPolicy(operation).compareTo(RetryPolicy.ONE) >= 0
                && retries < maxRetries()
                && duplicateGuard.isRepeatable()
                && bodyRetained;
        return mayBeFollowed
                ? Math.min(deadlineMs, nowMs + context.attemptObjectives() * policy.latencyObjectiveMs())
                : deadlineMs;
    }

    private int maxRetries() {
        return switch (context.tables().retryPolicy(operation)) {
            case NONE -> 0;
            case ONE_IF_NOT_EXECUTED, ONE -> 1;
            case TWO -> 2;
        };
    }

    private boolean mayRetry(AttemptFailure failure, double nowMs, boolean bodyRetained) {
        if (retries >= maxRetries() || nowMs >= deadlineMs || !bodyRetained) {
            return false;
        }
        if (failure.isProvenNotExecuted() && !duplicateGuard.mayHaveRun()) {
            return true;
        }
        return context.tables().retryPolicy(operation) != RetryPolicy.ONE_IF_NOT_EXECUTED
                && duplicateGuard.isRepeatable()
                && nowMs <= duplicateGuard.sendByMs();
    }

    private boolean mayRetryAt(int other) {
        return !triedHosts.get(other) && duplicateGuard.allows(other);
    }
}
