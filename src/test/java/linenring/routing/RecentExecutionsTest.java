package linenring.routing;

import static linenring.routing.RoutingFixture.ASSIGN;
import static linenring.routing.RoutingFixture.BOOK;
import static linenring.routing.RoutingFixture.admission;
import static linenring.routing.RoutingFixture.targetHost;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import linenring.planner.Commands.RetryPolicy;
import linenring.routing.AttemptFailure.Cause;
import linenring.routing.AttemptFailure.Execution;
import org.junit.jupiter.api.Test;

/**
 * A client repeats a request with its idempotency key. Hosts of even and odd indices are in different zones, which do not share
 * their keys. Guards against a second execution in another zone within the deduplication window.
 */
class RecentExecutionsTest {
    private static final AttemptFailure REFUSED = new AttemptFailure(Execution.NOT_PROCESSED, Cause.REFUSED);
    private static final int REPETITIONS = 40;

    private final RoutingFixture fixture =
            new RoutingFixture(6).withCompleteTables(6, admission(1, RetryPolicy.ONE_IF_NOT_EXECUTED));

    private int send(OperationPolicy policy, String key, double nowMs) {
        return targetHost(fixture.request(policy, key, nowMs).begin(nowMs, true));
    }

    private long zonesOfRepetitions(OperationPolicy policy, String key, double nowMs) {
        return IntStream.range(0, REPETITIONS)
                .map(repetition -> send(policy, key, nowMs) % 2)
                .distinct()
                .count();
    }

    @Test
    void staysInZoneOfFirstRequestWithinWindow() {
        int zone = send(BOOK, "a", 0) % 2;
        double lastMs = BOOK.deduplicationWindowMs() - 1;
        assertEquals(1, zonesOfRepetitions(BOOK, "a", lastMs));
        assertEquals(zone, send(BOOK, "a", lastMs) % 2);
    }

    /** Both requests exist before either is sent, as when two connections are read at the same time. */
    @Test
    void staysInZoneOfRequestThatWasSentMeanwhile() {
        for (int i = 0; i < REPETITIONS; i++) {
            RetryDecision first = fixture.request(BOOK, "same-" + i, 0);
            RetryDecision second = fixture.request(BOOK, "same-" + i, 0);
            int zone = targetHost(first.begin(0, true)) % 2;
            assertEquals(zone, targetHost(second.begin(1, true)) % 2);
        }
    }

    @Test
    void picksAnyHostForOtherKeysOperationsAndTimes() {
        send(BOOK, "a", 0);
        assertEquals(
                2,
                IntStream.range(0, REPETITIONS)
                        .map(key -> send(BOOK, "other-" + key, 1) % 2)
                        .distinct()
                        .count());
        assertEquals(2, zonesOfRepetitions(ASSIGN, "a", 1));
        assertEquals(2, zonesOfRepetitions(BOOK, null, 1));
        assertEquals(
                2,
                IntStream.range(0, REPETITIONS)
                        .map(window -> send(BOOK, "a", (window + 1) * BOOK.deduplicationWindowMs()) % 2)
                        .distinct()
                        .count());
    }

    /** The first request was refused and its retry was sent to the other zone: the repetition follows the retry. */
    @Test
    void forgetsHostThatCertainlyDidNotExecuteRequest() {
        for (int i = 0; i < REPETITIONS; i++) {
            String key = "refused-" + i;
            RetryDecision first = fixture.request(BOOK, key, 0);
            first.begin(0, true);
            int retriedAt = targetHost(first.attemptFailed(REFUSED, 1, true));
            assertEquals(retriedAt % 2, send(BOOK, key, 2) % 2);
        }
    }

    /** No host of the zone is left: the repetition is rejected and not sent to the other zone. */
    @Test
    void rejectsRepetitionWithoutHostOfSameZone() {
        int first = send(BOOK, "a", 0);
        fixture.apply(RoutingFixture.update(RoutingFixture.part(
                List.of(), true, admission(1, RetryPolicy.NONE), RoutingFixture.entry(1 - first % 2, 1))));
        assertInstanceOf(NextStep.Reject.class, fixture.request(BOOK, "a", 1).begin(1, true));
        assertTrue(send(BOOK, "b", 1) >= 0);
    }

    @Test
    void forgetsExpiredAndOldestKeys() {
        RecentExecutions executions = new RecentExecutions(3);
        for (int i = 0; i < 5; i++) {
            executions.remember(0, "key-" + i, new RecentExecutions.Execution(i, i), 100);
        }
        assertEquals(3, executions.size());
        assertEquals(Optional.empty(), executions.find(0, "key-1", 5));
        assertEquals(Optional.of(new RecentExecutions.Execution(4, 4)), executions.find(0, "key-4", 5));
        assertEquals(Optional.empty(), executions.find(0, "key-4", 104));
        executions.remember(0, "key-5", new RecentExecutions.Execution(5, 200), 100);
        assertEquals(1, executions.size());
    }
}
