package linenring.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import linenring.routing.ConnectionPool.Actions;
import linenring.routing.ConnectionPool.Assignment;
import linenring.routing.ConnectionPool.StreamGrant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConnectionPoolTest {
    private final ConnectionPool<String, Integer> pool = createPool();

    /** Creates a pool of 2 connections with 1 stream each, 5 waiters and a redial backoff of 100 ms to 1 s. */
    private static ConnectionPool<String, Integer> createPool() {
        return new ConnectionPool<>(new ConnectionPool.Limits(2, 1, 5, 15_000, 100, 1000));
    }

    private boolean opensConnection(int waiter, double nowMs) {
        return assertInstanceOf(StreamGrant.Queued.class, pool.requestStream(waiter, nowMs))
                .shouldOpenConnection();
    }

    private void assertRejected(int waiter, double nowMs) {
        assertInstanceOf(StreamGrant.Rejected.class, pool.requestStream(waiter, nowMs));
    }

    @Test
    void opensConnectionForFirstRequestAndQueuesLaterRequests() {
        assertTrue(opensConnection(1, 0));
        assertEquals(
                List.of(new Assignment<>(1, "a")),
                pool.connectionOpened("a", 2, 1).assigned());
        assertEquals(new StreamGrant.Granted<>("a"), pool.requestStream(2, 2));
        assertTrue(opensConnection(3, 3));
        // A stream ends before the second connection has opened.
        assertEquals(1, pool.streamClosed("a", 4).assigned().size());
    }

    @Test
    void rejectsAtOnceWhenQueueIsFull() {
        for (int i = 0; i < 5; i++) {
            pool.requestStream(i, 0);
        }
        assertRejected(6, 0);
        assertTrue(pool.cancel(3));
        assertInstanceOf(StreamGrant.Queued.class, pool.requestStream(7, 0));
    }

    /**
     * An unreachable host must not hold requests: waiters are rejected at once, and the next dial waits for a backoff.
     */
    @Test
    void rejectsWaitersWhenDialFailsAndBacksOffBeforeNextDial() {
        opensConnection(1, 0);
        assertEquals(List.of(1), pool.dialFailed(5).rejected());
        assertRejected(2, 50);
        assertTrue(opensConnection(3, 106));
        pool.dialFailed(106);
        assertRejected(4, 300);
        assertTrue(opensConnection(5, 307));
    }

    @Test
    void closesConnectionThatGoesAwayOnceItsStreamsAreDone() {
        opensConnection(1, 0);
        pool.connectionOpened("a", 10, 1);
        assertEquals(List.of(), pool.connectionGoingAway("a", 2).connectionsToClose());
        assertTrue(opensConnection(2, 3));
        assertEquals(List.of("a"), pool.streamClosed("a", 4).connectionsToClose());
    }

    @Test
    void closesIdleConnectionsOfRetiredHostAndKeepsActiveStreams() {
        opensConnection(1, 0);
        pool.connectionOpened("a", 1, 1);
        opensConnection(2, 2);
        pool.connectionOpened("b", 1, 3);
        pool.streamClosed("a", 4);
        assertEquals(List.of("a"), pool.setRetired(true, 5).connectionsToClose());
        assertEquals(1, pool.activeStreams());
        assertEquals(List.of("b"), pool.streamClosed("b", 9).connectionsToClose());
    }

    @Test
    void closesConnectionsThatAreIdleForTooLong() {
        opensConnection(1, 0);
        pool.connectionOpened("a", 4, 1);
        pool.streamClosed("a", 10);
        assertEquals(List.of(), pool.closeIdle(15_000).connectionsToClose());
        assertEquals(List.of("a"), pool.closeIdle(15_010).connectionsToClose());
    }

    @Test
    void grantsNothingWhileMoreStreamsAreActiveThanReducedLimit() {
        opensConnection(1, 0);
        pool.connectionOpened("a", 4, 1);
        pool.requestStream(2, 1);
        pool.maxStreamsChanged("a", 1, 2);
        assertTrue(opensConnection(3, 2));
        assertEquals(List.of(), pool.streamClosed("a", 3).assigned());
        assertEquals(
                List.of(new Assignment<>(3, "a")), pool.streamClosed("a", 4).assigned());
    }

    /**
     * The pool never exceeds its stream and connection limits and never leaves a waiter without a dial or active
     * stream.
     */
    @Property(tries = 500, seed = "1")
    void keepsLimitsInAnyOrderOfEvents(@ForAll @IntRange(max = 1 << 24) int seed) {
        RandomEvents events = new RandomEvents(seed);
        for (int step = 0; step < 200; step++) {
            events.applyRandomEvent(step, step * 40);
            events.assertLimits();
        }
    }

    /** Applies random events to a pool and models its connections, streams, dials and waiters. */
    private static final class RandomEvents {
        private static final int MAX_STREAMS = 3;

        private final ConnectionPool<String, Integer> pool = createPool();
        private final Map<String, Integer> activeByConnection = new HashMap<>();
        private final Random random;
        private int dialsInProgress;
        private int waiterCount;
        private int openedCount;

        RandomEvents(int seed) {
            random = new Random(seed);
        }

        void applyRandomEvent(int step, double nowMs) {
            int event = random.nextInt(5);
            if (event == 0 && dialsInProgress > 0) {
                dialsInProgress--;
                String connection = "c" + openedCount++;
                activeByConnection.put(connection, 0);
                apply(pool.connectionOpened(connection, MAX_STREAMS, nowMs));
            } else if (event == 1 && dialsInProgress > 0) {
                dialsInProgress--;
                apply(pool.dialFailed(nowMs));
            } else if (event == 2 && hasActiveStreams()) {
                String connection = firstActive();
                activeByConnection.merge(connection, -1, Integer::sum);
                apply(pool.streamClosed(connection, nowMs));
            } else if (event == 3 && !activeByConnection.isEmpty() && random.nextInt(4) == 0) {
                String connection = activeByConnection.keySet().iterator().next();
                activeByConnection.remove(connection);
                apply(pool.connectionLost(connection, nowMs));
            } else {
                apply(pool.requestStream(step, nowMs));
            }
        }

        private void apply(StreamGrant<String> grant) {
            if (grant instanceof StreamGrant.Granted<String> granted) {
                activeByConnection.merge(granted.connection(), 1, Integer::sum);
            } else if (grant instanceof StreamGrant.Queued<String> queued) {
                waiterCount++;
                dialsInProgress += queued.shouldOpenConnection() ? 1 : 0;
            }
        }

        private void apply(Actions<String, Integer> actions) {
            actions.assigned().forEach(assigned -> activeByConnection.merge(assigned.connection(), 1, Integer::sum));
            waiterCount -= actions.assigned().size() + actions.rejected().size();
            actions.connectionsToClose().forEach(activeByConnection::remove);
            dialsInProgress += actions.shouldOpenConnection() ? 1 : 0;
        }

        private boolean hasActiveStreams() {
            return activeByConnection.values().stream().anyMatch(active -> active > 0);
        }

        private String firstActive() {
            return activeByConnection.entrySet().stream()
                    .filter(entry -> entry.getValue() > 0)
                    .findFirst()
                    .orElseThrow()
                    .getKey();
        }

        void assertLimits() {
            assertTrue(activeByConnection.values().stream().allMatch(active -> active >= 0 && active <= MAX_STREAMS));
            assertTrue(activeByConnection.size() + dialsInProgress <= 2);
            assertTrue(
                    waiterCount == 0 || dialsInProgress > 0 || hasActiveStreams(),
                    "a request waits, but no dial is in progress and no stream is active");
        }
    }
}
