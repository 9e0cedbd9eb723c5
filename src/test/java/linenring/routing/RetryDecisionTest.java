package linenring.routing;

import static linenring.routing.RoutingFixture.ASSIGN;
import static linenring.routing.RoutingFixture.BOOK;
import static linenring.routing.RoutingFixture.QUOTE;
import static linenring.routing.RoutingFixture.admission;
import static linenring.routing.RoutingFixture.targetHost;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.routing.AttemptFailure.Cause;
import linenring.routing.AttemptFailure.Execution;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryDecisionTest {
    private static final AttemptFailure REFUSED = new AttemptFailure(Execution.NOT_PROCESSED, Cause.REFUSED);
    private static final AttemptFailure GOING_AWAY = new AttemptFailure(Execution.NOT_PROCESSED, Cause.GOING_AWAY);
    private static final AttemptFailure CONNECTION_LOST =
            new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.CONNECTION_LOST);
    private static final AttemptFailure ATTEMPT_TIMED_OUT = new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.TIMED_OUT);
    private static final AttemptFailure UNREACHABLE = new AttemptFailure(Execution.NEVER_SENT, Cause.UNREACHABLE);
    private static final AttemptFailure ERRORED = new AttemptFailure(Execution.RAN, Cause.ANSWERED_ERRORED);

    private static RoutingFixture sixHosts(RetryPolicy retryPolicy) {
        return new RoutingFixture(6).withCompleteTables(6, admission(1, retryPolicy));
    }

    private static FailureReason rejectionReason(NextStep step) {
        return assertInstanceOf(NextStep.Reject.class, step).reason();
    }

    private static NextStep.Send requireSend(NextStep step) {
        return assertInstanceOf(NextStep.Send.class, step);
    }

    /** The host may have executed the request before the connection was lost, and a second execution would do harm. */
    @Test
    void neverRetriesSideEffectingRequestThatMayHaveRunUnderAnyPolicy() {
        for (RetryPolicy retryPolicy : RetryPolicy.values()) {
            for (AttemptFailure failure : List.of(CONNECTION_LOST, ATTEMPT_TIMED_OUT)) {
                RetryDecision request = sixHosts(retryPolicy).request(ASSIGN, true, 0);
                request.begin(0, true);
                assertEquals(
                        failure.equals(ATTEMPT_TIMED_OUT) ? FailureReason.TIMED_OUT : FailureReason.ERRORED,
                        rejectionReason(request.attemptFailed(failure, 10, true)));
                // A later proof of non-execution does not reopen the request.
                assertInstanceOf(NextStep.Nothing.class, request.attemptFailed(REFUSED, 11, true));
            }
        }
    }

    @Test
    void retriesSideEffectingRequestOnceOnOtherHostWhenProvenNotExecuted() {
        for (AttemptFailure failure : List.of(REFUSED, UNREACHABLE, GOING_AWAY)) {
            RetryDecision request = sixHosts(RetryPolicy.ONE_IF_NOT_EXECUTED).request(ASSIGN, false, 0);
            int firstHost = targetHost(request.begin(0, true));
            int secondHost = targetHost(request.attemptFailed(failure, 5, true));
            assertNotEquals(-1, secondHost);
            assertNotEquals(firstHost, secondHost);
            assertEquals(FailureReason.ERRORED, rejectionReason(request.attemptFailed(failure, 6, true)));
        }
    }

    /**
     * A retry may wait for a connection until its deduplication window has ended; a host would then not recognize the
     * duplicate and book twice.
     */
    @Test
    void limitsSendTimeOfRetryWithIdempotencyKeyToDeduplicationWindow() {
        RetryDecision book = sixHosts(RetryPolicy.ONE).request(BOOK, true, 100);
        assertEquals(
                Double.POSITIVE_INFINITY, requireSend(book.begin(100, true)).sendDeadlineMs());
        assertEquals(
                100 + 0.8 * 2500,
                requireSend(book.attemptFailed(CONNECTION_LOST, 200, true)).sendDeadlineMs());
        RetryDecision quote = sixHosts(RetryPolicy.ONE).request(QUOTE, false, 0);
        quote.begin(0, true);
        assertEquals(
                Double.POSITIVE_INFINITY,
                requireSend(quote.attemptFailed(CONNECTION_LOST, 10, true)).sendDeadlineMs());
    }

    @Test
    void doesNotRetryUnderPolicyNoneEvenWhenProvenNotExecuted() {
        RetryDecision request = sixHosts(RetryPolicy.NONE).request(QUOTE, false, 0);
        request.begin(0, true);
        assertEquals(FailureReason.ERRORED, rejectionReason(request.attemptFailed(REFUSED, 5, true)));
    }

    @Test
    void retriesIdempotentRequestAfterAnyFailureAsOftenAsPolicyAllows() {
        RetryDecision request = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        BitSet hosts = new BitSet();
        hosts.set(targetHost(request.begin(0, true)));
        hosts.set(targetHost(request.attemptFailed(CONNECTION_LOST, 5, true)));
        hosts.set(targetHost(request.attemptFailed(ERRORED, 6, true)));
        assertEquals(3, hosts.cardinality());
        // The host's error answer is forwarded when no retry is left.
        assertInstanceOf(NextStep.Forward.class, request.attemptFailed(ERRORED, 7, true));
        assertEquals(3, request.attempts());
    }

    @Test
    void limitsRetryableAttemptToObjectivesAndGivesLastAttemptAllRemainingTime() {
        RetryDecision retried = sixHosts(RetryPolicy.ONE).request(QUOTE, false, 0);
        assertEquals(900, requireSend(retried.begin(0, true)).attemptDeadlineMs());
        assertEquals(
                2000,
                requireSend(retried.attemptFailed(ATTEMPT_TIMED_OUT, 900, true)).attemptDeadlineMs());
        RetryDecision sideEffecting = sixHosts(RetryPolicy.ONE).request(ASSIGN, false, 0);
        assertEquals(2000, requireSend(sideEffecting.begin(0, true)).attemptDeadlineMs());
        RetryDecision bodyNotRetained = sixHosts(RetryPolicy.ONE).request(QUOTE, false, 0);
        assertEquals(2000, requireSend(bodyNotRetained.begin(0, false)).attemptDeadlineMs());
    }

    @Test
    void retriesRequestWithIdempotencyKeyOnlyInDeduplicationScopeAndWindow() {
        for (int seed = 0; seed < 50; seed++) {
            RoutingFixture fixture = sixHosts(RetryPolicy.ONE);
            fixture.random().setSeed(seed);
            RetryDecision request = fixture.request(BOOK, true, 0);
            int firstHost = targetHost(request.begin(0, true));
            // Host indices alternate between zones 0 and 1.
            assertEquals(firstHost % 2, targetHost(request.attemptFailed(CONNECTION_LOST, 1000, true)) % 2);
        }
        RetryDecision withoutKey = sixHosts(RetryPolicy.ONE).request(BOOK, false, 0);
        withoutKey.begin(0, true);
        assertEquals(FailureReason.ERRORED, rejectionReason(withoutKey.attemptFailed(CONNECTION_LOST, 5, true)));
        RetryDecision afterWindow = sixHosts(RetryPolicy.ONE).request(BOOK, true, 0);
        afterWindow.begin(0, true);
        // At 2001 ms, 80% of the deduplication window of 2.5 s has passed.
        assertEquals(FailureReason.ERRORED, rejectionReason(afterWindow.attemptFailed(CONNECTION_LOST, 2001, true)));
    }

    @Test
    void doesNotRetryWhenDeduplicationScopeHasNoOtherHost() {
        RoutingFixture fixture = new RoutingFixture(2).withCompleteTables(2, admission(1, RetryPolicy.TWO));
        RetryDecision request = fixture.request(BOOK, true, 0);
        request.begin(0, true);
        assertEquals(FailureReason.ERRORED, rejectionReason(request.attemptFailed(CONNECTION_LOST, 5, true)));
    }

    /**
     * When one host refuses the request and the connection to another is lost, the deduplication scope is that of the
     * second host, since only it may have executed the request.
     */
    @Test
    void usesDeduplicationScopeOfFirstHostThatMayHaveExecutedRequest() {
        for (int seed = 0; seed < 50; seed++) {
            RoutingFixture fixture = sixHosts(RetryPolicy.TWO);
            fixture.random().setSeed(seed);
            RetryDecision request = fixture.request(BOOK, true, 0);
            request.begin(0, true);
            int secondHost = targetHost(request.attemptFailed(REFUSED, 1, true));
            int thirdHost = targetHost(request.attemptFailed(CONNECTION_LOST, 2, true));
            assertTrue(thirdHost == -1 || thirdHost % 2 == secondHost % 2);
        }
    }

    @Test
    void doesNotRetryWithoutRetainedBody() {
        RetryDecision request = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        request.begin(0, true);
        assertEquals(FailureReason.ERRORED, rejectionReason(request.attemptFailed(REFUSED, 5, false)));
    }

    @Test
    void doesNotRetryPastTimeout() {
        RetryDecision request = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        request.begin(0, true);
        assertEquals(FailureReason.TIMED_OUT, rejectionReason(request.attemptFailed(ATTEMPT_TIMED_OUT, 2000, true)));
    }

    @Test
    void doesNotRetryWhenClientIsGoneOrAnswered() {
        RetryDecision abandoned = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        abandoned.begin(0, true);
        assertTrue(abandoned.abandon());
        assertInstanceOf(NextStep.Nothing.class, abandoned.attemptFailed(REFUSED, 5, true));
        RetryDecision answered = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        answered.begin(0, true);
        assertInstanceOf(NextStep.Forward.class, answered.attemptSucceeded(4));
        assertInstanceOf(NextStep.Nothing.class, answered.attemptFailed(CONNECTION_LOST, 5, true));
        assertFalse(answered.abandon());
    }

    @Test
    void rejectsImmediatelyForEmptyTableAndAboveAdmittedRate() {
        RetryDecision withoutHosts = new RoutingFixture(2).request(QUOTE, false, 0);
        assertEquals(FailureReason.NO_HOST, rejectionReason(withoutHosts.begin(0, true)));
        RoutingFixture fixture = new RoutingFixture(2, AdmissionUnit.PER_SECOND)
                .withCompleteTables(2, admission(0.5, RetryPolicy.ONE_IF_NOT_EXECUTED));
        fixture.request(QUOTE, false, 0).begin(0, true);
        NextStep.Reject rejected =
                (NextStep.Reject) fixture.request(QUOTE, false, 100).begin(100, true);
        assertEquals(FailureReason.RATE_LIMITED, rejected.reason());
        assertEquals(1900, rejected.retryAfterMs(), 1);
    }

    /** When all hosts fail all requests, retries must not double the load. */
    @Test
    void keepsRetryStormWithinBudget() {
        RoutingFixture fixture = sixHosts(RetryPolicy.TWO);
        fixture.setBudget(new RetryBudget(0.2, 10, 10_000));
        int retries = 0;
        int requestCount = 20_000;
        for (int i = 0; i < requestCount; i++) {
            double nowMs = i; // 1,000 requests per second
            RetryDecision request = fixture.request(QUOTE, false, nowMs);
            request.begin(nowMs, true);
            while (request.attemptFailed(CONNECTION_LOST, nowMs, true) instanceof NextStep.Send) {
                retries++;
            }
        }
        assertTrue(retries <= 0.2 * requestCount + 10, "retries " + retries);
        assertTrue(retries >= 0.15 * requestCount, "retries " + retries);
    }

    @Test
    void doesNotCarryOverUnusedRetryBudget() {
        RetryBudget budget = new RetryBudget(0.1, 2, 10_000);
        for (int i = 0; i < 1000; i++) {
            budget.recordFirstAttempt(0);
        }
        int retriesTaken = 0;
        while (budget.tryTakeRetry(20_000)) {
            retriesTaken++;
        }
        assertEquals(2, retriesTaken);
        assertFalse(budget.tryTakeRetry(15_000)); // a clock that steps back adds no retries
    }

    /**
     * For any sequence of failures, a side-effecting request is not sent again after it may have been executed, and a
     * request with an idempotency key is not sent outside its deduplication scope and window. No request is sent to the
     * same host twice or after its timeout.
     */
    @Property(tries = 2000, seed = "1")
    void neverRisksSecondExecutionWithSideEffects(@ForAll @IntRange(max = 1 << 24) int seed) {
        RoutingFixture fixture = sixHosts(TableUpdate.RETRY_POLICIES.get(seed % 4));
        fixture.random().setSeed(seed);
        AttemptFailure[] failures = {REFUSED, CONNECTION_LOST, ATTEMPT_TIMED_OUT, UNREACHABLE, ERRORED};
        OperationPolicy policy =
                RoutingFixture.ALL_OPERATIONS.get(fixture.random().nextInt(3));
        boolean hasKey = fixture.random().nextBoolean();
        RetryDecision request = fixture.request(policy, hasKey, 0);
        double nowMs = 0;
        double firstExecutionMs = -1;
        int firstExecutionHost = -1;
        BitSet triedHosts = new BitSet();
        NextStep step = request.begin(nowMs, true);
        while (step instanceof NextStep.Send send) {
            assertFalse(triedHosts.get(send.host()));
            triedHosts.set(send.host());
            assertTrue(nowMs < policy.timeoutMs());
            if (firstExecutionHost >= 0) {
                assertNotEquals(ASSIGN, policy);
                boolean isRecognized =
                        hasKey && nowMs <= firstExecutionMs + 2500 && firstExecutionHost % 2 == send.host() % 2;
                assertTrue(policy.equals(QUOTE) || isRecognized);
            }
            double sentAtMs = nowMs;
            nowMs += fixture.random().nextInt(1500);
            AttemptFailure failure = failures[fixture.random().nextInt(failures.length)];
            if (firstExecutionHost < 0 && !failure.isProvenNotExecuted()) {
                firstExecutionHost = send.host();
                firstExecutionMs = sentAtMs;
            }
            step = request.attemptFailed(failure, nowMs, true);
        }
        assertTrue(request.attempts() <= 3);
    }
}
