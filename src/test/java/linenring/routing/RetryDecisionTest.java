package linenring.routing;

import static linenring.routing.RoutingFixture.ASSIGN;
import static linenring.routing.RoutingFixture.BOOK;
import static linenring.routing.RoutingFixture.QUOTE;
import static linenring.routing.RoutingFixture.admission;
import static linenring.routing.RoutingFixture.sentTo;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Measure;
import linenring.routing.AttemptFailure.Cause;
import linenring.routing.AttemptFailure.Execution;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryDecisionTest {
    private static final AttemptFailure REFUSED = new AttemptFailure(Execution.NOT_PROCESSED, Cause.REFUSED);
    private static final AttemptFailure GOING_AWAY = new AttemptFailure(Execution.NOT_PROCESSED, Cause.GOING_AWAY);
    private static final AttemptFailure LOST = new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.CONNECTION_LOST);
    private static final AttemptFailure LATE = new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.TIMED_OUT);
    private static final AttemptFailure UNREACHABLE = new AttemptFailure(Execution.NEVER_SENT, Cause.UNREACHABLE);
    private static final AttemptFailure ERRORED = new AttemptFailure(Execution.RAN, Cause.ANSWERED_ERRORED);

    private static RoutingFixture sixHosts(RetryPolicy retryPolicy) {
        return new RoutingFixture(6).withCompleteTables(6, admission(1, retryPolicy));
    }

    private static FailureReason reason(NextStep step) {
        return assertInstanceOf(NextStep.Reject.class, step).reason();
    }

    private static NextStep.Send send(NextStep step) {
        return assertInstanceOf(NextStep.Send.class, step);
    }

    /** Its host may have executed it before it was lost: a second execution would do harm. */
    @Test
    void neverRetriesSideEffectingRequestThatMayHaveRunWhateverThePolicy() {
        for (RetryPolicy retryPolicy : RetryPolicy.values()) {
            for (AttemptFailure failure : List.of(LOST, LATE)) {
                RetryDecision request = sixHosts(retryPolicy).request(ASSIGN, true, 0);
                request.begin(0, true);
                assertEquals(
                        failure.equals(LATE) ? FailureReason.TIMED_OUT : FailureReason.ERRORED,
                        reason(request.attemptFailed(failure, 10, true)));
                // A late proof changes nothing.
                assertInstanceOf(NextStep.Nothing.class, request.attemptFailed(REFUSED, 11, true));
            }
        }
    }

    @Test
    void retriesEvenSideEffectingRequestOnceElsewhereOnProofThatItWasNotExecuted() {
        for (AttemptFailure failure : List.of(REFUSED, UNREACHABLE, GOING_AWAY)) {
            RetryDecision request = sixHosts(RetryPolicy.ONE_IF_NOT_EXECUTED).request(ASSIGN, false, 0);
            int first = sentTo(request.begin(0, true));
            int second = sentTo(request.attemptFailed(failure, 5, true));
            assertNotEquals(-1, second);
            assertNotEquals(first, second);
            assertEquals(FailureReason.ERRORED, reason(request.attemptFailed(failure, 6, true)));
        }
    }

    /** By then it may still wait for a connection: past its window the host would not know it, and book twice. */
    @Test
    void sendsRepeatWithIdempotencyKeyInsideWindowOrNotAtAll() {
        RetryDecision book = sixHosts(RetryPolicy.ONE).request(BOOK, true, 100);
        assertEquals(Double.POSITIVE_INFINITY, send(book.begin(100, true)).sendByMs());
        assertEquals(100 + 0.8 * 2500, send(book.attemptFailed(LOST, 200, true)).sendByMs());
        RetryDecision quote = sixHosts(RetryPolicy.ONE).request(QUOTE, false, 0);
        quote.begin(0, true);
        assertEquals(
                Double.POSITIVE_INFINITY,
                send(quote.attemptFailed(LOST, 10, true)).sendByMs());
    }

    @Test
    void doesNotRetryWithoutPolicyEvenOnProof() {
        RetryDecision request = sixHosts(RetryPolicy.NONE).request(QUOTE, false, 0);
        request.begin(0, true);
        assertEquals(FailureReason.ERRORED, reason(request.attemptFailed(REFUSED, 5, true)));
    }

    @Test
    void retriesIdempotentRequestAfterAnyFailureAsOftenAsPolicyAllows() {
        RetryDecision request = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        BitSet hosts = new BitSet();
        hosts.set(sentTo(request.begin(0, true)));
        hosts.set(sentTo(request.attemptFailed(LOST, 5, true)));
        hosts.set(sentTo(request.attemptFailed(ERRORED, 6, true)));
        assertEquals(3, hosts.cardinality());
        // The host's own error is the answer.
        assertInstanceOf(NextStep.Forward.class, request.attemptFailed(ERRORED, 7, true));
        assertEquals(3, request.attempts());
    }

    @Test
    void givesAttemptThatMayBeFollowedSomeObjectivesAndLastOneAllRemainingTime() {
        RetryDecision retried = sixHosts(RetryPolicy.ONE).request(QUOTE, false, 0);
        assertEquals(900, send(retried.begin(0, true)).giveUpAtMs());
        assertEquals(2000, send(retried.attemptFailed(LATE, 900, true)).giveUpAtMs());
        RetryDecision sideEffecting = sixHosts(RetryPolicy.ONE).request(ASSIGN, false, 0);
        assertEquals(2000, send(sideEffecting.begin(0, true)).giveUpAtMs());
        RetryDecision bodyNotRetained = sixHosts(RetryPolicy.ONE).request(QUOTE, false, 0);
        assertEquals(2000, send(bodyNotRetained.begin(0, false)).giveUpAtMs());
    }

    @Test
    void repeatsRequestWithIdempotencyKeyOnlyInItsScopeAndWindow() {
        for (int seed = 0; seed < 50; seed++) {
            RoutingFixture fixture = sixHosts(RetryPolicy.ONE);
            fixture.random().setSeed(seed);
            RetryDecision request = fixture.request(BOOK, true, 0);
            int first = sentTo(request.begin(0, true));
            // Zones alternate.
            assertEquals(first % 2, sentTo(request.attemptFailed(LOST, 1000, true)) % 2);
        }
        RetryDecision withoutKey = sixHosts(RetryPolicy.ONE).request(BOOK, false, 0);
        withoutKey.begin(0, true);
        assertEquals(FailureReason.ERRORED, reason(withoutKey.attemptFailed(LOST, 5, true)));
        RetryDecision late = sixHosts(RetryPolicy.ONE).request(BOOK, true, 0);
        late.begin(0, true);
        // The window of 2.5 s less a fifth is over.
        assertEquals(FailureReason.ERRORED, reason(late.attemptFailed(LOST, 2001, true)));
    }

    @Test
    void doesNotRepeatWhenScopeHasNoOtherHost() {
        RoutingFixture fixture = new RoutingFixture(2).withCompleteTables(2, admission(1, RetryPolicy.TWO));
        RetryDecision request = fixture.request(BOOK, true, 0);
        request.begin(0, true);
        assertEquals(FailureReason.ERRORED, reason(request.attemptFailed(LOST, 5, true)));
    }

    /** Refused at one zone, lost at another: the window and scope are those of the host that may have executed it. */
    @Test
    void takesScopeOfFirstHostThatMayHaveExecutedRequest() {
        for (int seed = 0; seed < 50; seed++) {
            RoutingFixture fixture = sixHosts(RetryPolicy.TWO);
            fixture.random().setSeed(seed);
            RetryDecision request = fixture.request(BOOK, true, 0);
            request.begin(0, true);
            int second = sentTo(request.attemptFailed(REFUSED, 1, true));
            int third = sentTo(request.attemptFailed(LOST, 2, true));
            assertTrue(third == -1 || third % 2 == second % 2);
        }
    }

    @Test
    void doesNotRetryWithoutRetainedBody() {
        RetryDecision request = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        request.begin(0, true);
        assertEquals(FailureReason.ERRORED, reason(request.attemptFailed(REFUSED, 5, false)));
    }

    @Test
    void doesNotRetryPastTimeout() {
        RetryDecision request = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        request.begin(0, true);
        assertEquals(FailureReason.TIMED_OUT, reason(request.attemptFailed(LATE, 2000, true)));
    }

    @Test
    void doesNotRetryWhenClientIsGoneOrAnswered() {
        RetryDecision gone = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        gone.begin(0, true);
        assertTrue(gone.abandon());
        assertInstanceOf(NextStep.Nothing.class, gone.attemptFailed(REFUSED, 5, true));
        RetryDecision answered = sixHosts(RetryPolicy.TWO).request(QUOTE, false, 0);
        answered.begin(0, true);
        assertInstanceOf(NextStep.Forward.class, answered.attemptSucceeded(4));
        assertInstanceOf(NextStep.Nothing.class, answered.attemptFailed(LOST, 5, true));
        assertFalse(answered.abandon());
    }

    @Test
    void rejectsAtOnceForEmptyTableAndOverOrderedRate() {
        RetryDecision noHost = new RoutingFixture(2).request(QUOTE, false, 0);
        assertEquals(FailureReason.NO_HOST, reason(noHost.begin(0, true)));
        RoutingFixture fixture = new RoutingFixture(2, Measure.PER_SECOND)
                .withCompleteTables(2, admission(0.5, RetryPolicy.ONE_IF_NOT_EXECUTED));
        fixture.request(QUOTE, false, 0).begin(0, true);
        NextStep.Reject rejected =
                (NextStep.Reject) fixture.request(QUOTE, false, 100).begin(100, true);
        assertEquals(FailureReason.RATE_LIMITED, rejected.reason());
        assertEquals(1900, rejected.retryAfterMs(), 1);
    }

    /** All hosts fail all requests: retries may not double the load that they fail under. */
    @Test
    void keepsRetryStormWithinBudget() {
        RoutingFixture fixture = sixHosts(RetryPolicy.TWO);
        fixture.setBudget(new RetryBudget(0.2, 10, 10_000));
        int retries = 0;
        int total = 20_000;
        for (int i = 0; i < total; i++) {
            double nowMs = i; // 1,000 a second
            RetryDecision request = fixture.request(QUOTE, false, nowMs);
            request.begin(nowMs, true);
            while (request.attemptFailed(LOST, nowMs, true) instanceof NextStep.Send) {
                retries++;
            }
        }
        assertTrue(retries <= 0.2 * total + 10, "retries " + retries);
        assertTrue(retries >= 0.15 * total, "retries " + retries);
    }

    @Test
    void givesNoCreditForUnusedRetryBudget() {
        RetryBudget budget = new RetryBudget(0.1, 2, 10_000);
        for (int i = 0; i < 1000; i++) {
            budget.recordFirstAttempt(0);
        }
        int late = 0;
        while (budget.tryTakeRetry(20_000)) {
            late++;
        }
        assertEquals(2, late);
        assertFalse(budget.tryTakeRetry(15_000)); // a clock that steps back gives none anew
    }

    /**
     * Whatever ends the attempts in whatever order: no side-effecting request is sent after it may have been executed,
     * none with an idempotency key outside its scope and window, none to a host twice, none past its timeout.
     */
    @Property(tries = 2000, seed = "1")
    void neverRisksSecondEffect(@ForAll @IntRange(max = 1 << 24) int seed) {
        RoutingFixture fixture = sixHosts(TableUpdate.RETRY_POLICIES.get(seed % 4));
        fixture.random().setSeed(seed);
        AttemptFailure[] failures = {REFUSED, LOST, LATE, UNREACHABLE, ERRORED};
        OperationPolicy policy = RoutingFixture.ALL.get(fixture.random().nextInt(3));
        boolean hasKey = fixture.random().nextBoolean();
        RetryDecision request = fixture.request(policy, hasKey, 0);
        double nowMs = 0;
        double executedSinceMs = -1;
        int executedAt = -1;
        BitSet triedHosts = new BitSet();
        NextStep step = request.begin(nowMs, true);
        while (step instanceof NextStep.Send send) {
            assertFalse(triedHosts.get(send.host()));
            triedHosts.set(send.host());
            assertTrue(nowMs < policy.timeoutMs());
            if (executedAt >= 0) {
                assertNotEquals(ASSIGN, policy);
                boolean recognised = hasKey && nowMs <= executedSinceMs + 2500 && executedAt % 2 == send.host() % 2;
                assertTrue(policy.equals(QUOTE) || recognised);
            }
            double sentAtMs = nowMs;
            nowMs += fixture.random().nextInt(1500);
            AttemptFailure failure = failures[fixture.random().nextInt(failures.length)];
            if (executedAt < 0 && !failure.isProvenNotExecuted()) {
                executedAt = send.host();
                executedSinceMs = sentAtMs;
            }
            step = request.attemptFailed(failure, nowMs, true);
        }
        assertTrue(request.attempts() <= 3);
    }
}
