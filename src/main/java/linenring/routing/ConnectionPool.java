package linenring.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The decisions about the connections to one host: which one carries the next stream, when one is opened, closed or
 * given up. {@code C} names a connection, {@code W} who waits for a stream. Not thread-safe: the caller holds a lock.
 *
 * <p>Rules: the fullest open connection that has capacity carries the next stream, so that spare ones fall idle. Where
 * none has and there are fewer than the limit, one more is opened and the caller waits; else it waits as long as the
 * queue is short. A connection that goes away, or whose host is retired, takes nothing new and is closed once its
 * streams are done. A failed dial is repeated only after a backoff that doubles, and whoever waits meanwhile is
 * rejected at once: a host that cannot be reached would else hold requests that another host could serve.
 */
public final class ConnectionPool<C, W> {
    /** The reply to a request for a stream. */
    public sealed interface StreamGrant<C> {
        /** A stream of this connection; it counts as active until {@link ConnectionPool#streamClosed}. */
        record Granted<C>(C connection) implements StreamGrant<C> {}

        /** The caller waits in the queue; {@code openConnection}: one more is to be opened. */
        record Queued<C>(boolean openConnection) implements StreamGrant<C> {}

        /** No stream, and nothing was sent: the queue is full, or the host could not be reached just now. */
        record Rejected<C>() implements StreamGrant<C> {}
    }

    /** One who waited and now has a stream of a connection. */
    public record Assignment<C, W>(W waiter, C connection) {}

    /** What the caller does after an event, in this order of components. */
    public record Actions<C, W>(
            List<Assignment<C, W>> assigned, List<W> rejected, List<C> connectionsToClose, boolean openConnection) {}

    /**
     * Sizes and times.
     *
     * @param maxConnections to the host
     * @param maxStreams     on one connection, and what one is expected to carry before the host has sent its settings
     * @param maxWaiters     in the queue
     * @param maxIdleMs      after which a connection without streams is closed
     * @param minRedialMs    backoff after the first failed dial
     * @param maxRedialMs    to which the backoff doubles
     */
    public record Limits(
            int maxConnections,
            int maxStreams,
            int maxWaiters,
            double maxIdleMs,
            double minRedialMs,
            double maxRedialMs) {}

    private static final class PooledConnection<C> {
        private final C connection;
        private int maxStreams;
        private int activeStreams;
        private boolean goingAway;
        private double idleSinceMs;

        PooledConnection(C connection, int maxStreams, double nowMs) {
            this.connection = connection;
            this.maxStreams = maxStreams;
            idleSinceMs = nowMs;
        }

        boolean hasCapacity() {
            return !goingAway && activeStreams < maxStreams;
        }

        void streamClosed(double nowMs) {
            activeStreams--;
            idleSinceMs = nowMs;
        }
    }

    private final Limits limits;
    private final List<PooledConnection<C>> connections = new ArrayList<>();
    private final ArrayDeque<W> waiters = new ArrayDeque<>();
    private int dialing;
    private int expectedStreams; // of the next connection: as many as the last one that was opened
    private boolean retired;
    private double redialBackoffMs;
    private double noDialBeforeMs = Double.NEGATIVE_INFINITY;

    /** A pool without connections. */
    public ConnectionPool(Limits limits) {
        this.limits = limits;
        expectedStreams = limits.maxStreams();
    }

    /** Somebody wants a stream. */
    public StreamGrant<C> requestStream(W waiter, double nowMs) {
        PooledConnection<C> fullest = fullestWithCapacity();
        if (fullest != null) {
            fullest.activeStreams++;
            return new StreamGrant.Granted<>(fullest.connection);
        }
        if (waiters.size() >= limits.maxWaiters()) {
            return new StreamGrant.Rejected<>();
        }
        boolean open = mayOpen(nowMs);
        if (!open && dialing == 0 && allGoingAway()) {
            return new StreamGrant.Rejected<>();
        }
        waiters.add(waiter);
        dialing += open ? 1 : 0;
        return new StreamGrant.Queued<>(open);
    }

    /** Who waited no longer does; false if it had its reply already. */
    public boolean cancel(W waiter) {
        return waiters.remove(waiter);
    }

    /** A dial succeeded, and the connection takes {@code maxStreams} streams. */
    public Actions<C, W> connectionOpened(C connection, int maxStreams, double nowMs) {
        dialing--;
        redialBackoffMs = 0;
        expectedStreams = Math.max(1, maxStreams);
        connections.add(new PooledConnection<>(connection, maxStreams, nowMs));
        return settle(nowMs);
    }

    /** A dial failed. */
    public Actions<C, W> dialFailed(double nowMs) {
        dialing--;
        redialBackoffMs = Math.min(limits.maxRedialMs(), Math.max(limits.minRedialMs(), 2 * redialBackoffMs));
        noDialBeforeMs = nowMs + redialBackoffMs;
        return settle(nowMs);
    }

    /** The host limits how many streams it takes on a connection (RFC 9113, 6.5.2). */
    public Actions<C, W> maxStreamsChanged(C connection, int maxStreams, double nowMs) {
        for (PooledConnection<C> pooled : connections) {
            if (pooled.connection.equals(connection)) {
                pooled.maxStreams = maxStreams;
            }
        }
        return settle(nowMs);
    }

    /** A stream of a connection is over. */
    public Actions<C, W> streamClosed(C connection, double nowMs) {
        for (PooledConnection<C> pooled : connections) {
            if (pooled.connection.equals(connection)) {
                pooled.streamClosed(nowMs);
            }
        }
        return settle(nowMs);
    }

    /** The host takes nothing new on a connection; active streams go on (RFC 9113, 6.8). */
    public Actions<C, W> connectionGoingAway(C connection, double nowMs) {
        for (PooledConnection<C> pooled : connections) {
            if (pooled.connection.equals(connection)) {
                pooled.goingAway = true;
            }
        }
        return settle(nowMs);
    }

    /** A connection broke or was closed; its streams end by themselves. */
    public Actions<C, W> connectionLost(C connection, double nowMs) {
        connections.removeIf(pooled -> pooled.connection.equals(connection));
        return settle(nowMs);
    }

    /** The host is not to be used any more, or is again: idle connections are closed, active streams are left. */
    public Actions<C, W> setRetired(boolean newRetired, double nowMs) {
        retired = newRetired;
        return settle(nowMs);
    }

    /** Closes what has been idle for too long; to be called periodically. */
    public Actions<C, W> closeIdle(double nowMs) {
        return settle(nowMs);
    }

    /** Streams that are active on all connections. */
    public int activeStreams() {
        return connections.stream().mapToInt(pooled -> pooled.activeStreams).sum();
    }

    /** One more connection may be opened while those that are being dialed would not carry all who wait. */
    private boolean mayOpen(double nowMs) {
        long usable = connections.stream().filter(pooled -> !pooled.goingAway).count();
        return nowMs >= noDialBeforeMs
                && usable + dialing < limits.maxConnections()
                && waiters.size() >= dialing * expectedStreams;
    }

    private boolean allGoingAway() {
        return connections.stream().allMatch(pooled -> pooled.goingAway);
    }

    private PooledConnection<C> fullestWithCapacity() {
        PooledConnection<C> fullest = null;
        for (PooledConnection<C> pooled : connections) {
            if (pooled.hasCapacity() && (fullest == null || pooled.activeStreams > fullest.activeStreams)) {
                fullest = pooled;
            }
        }
        return fullest;
    }

    private Actions<C, W> settle(double nowMs) {
        List<Assignment<C, W>> assigned = assignWaiters();
        List<W> rejected = new ArrayList<>();
        boolean open = false;
        if (!waiters.isEmpty() && dialing == 0 && allGoingAway()) { // nothing will carry them
            open = mayOpen(nowMs);
            if (!open) {
                rejected.addAll(waiters);
                waiters.clear();
            }
        }
        dialing += open ? 1 : 0;
        return new Actions<>(assigned, rejected, removeUnused(nowMs), open);
    }

    private List<Assignment<C, W>> assignWaiters() {
        List<Assignment<C, W>> assigned = new ArrayList<>();
        PooledConnection<C> fullest = fullestWithCapacity();
        while (fullest != null && !waiters.isEmpty()) {
            fullest.activeStreams++;
            assigned.add(new Assignment<>(waiters.poll(), fullest.connection));
            fullest = fullestWithCapacity();
        }
        return assigned;
    }

    private List<C> removeUnused(double nowMs) {
        List<C> removed = new ArrayList<>();
        connections.removeIf(pooled -> {
            boolean idleTooLong = nowMs - pooled.idleSinceMs >= limits.maxIdleMs();
            boolean unused = pooled.activeStreams <= 0 && (pooled.goingAway || retired || idleTooLong);
            if (unused) {
                removed.add(pooled.connection);
            }
            return unused;
        });
        return removed;
    }
}
