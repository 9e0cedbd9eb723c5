package linenring.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The connection pool of one host. It decides which connection carries the next stream, and when connections are opened
 * and closed; the caller does the I/O. {@code C} is the type of a connection, {@code W} the type of a waiter, which is
 * a request waiting for a stream. Not thread-safe: the caller holds a lock.
 *
 * <p>The open connection with the most active streams below its limit carries the next stream, so that spare
 * connections become idle. If no connection has capacity, the pool opens another one up to its limit, and the request
 * waits in a bounded queue. A connection that is going away, or whose host is retired, is closed once its streams have
 * ended; a connection that is going away takes no new streams. A failed dial is repeated only after an exponential
 * backoff, and the pool rejects waiters at once in the meantime: an unreachable host would otherwise hold requests that
 * another host could serve.
 */
public final class ConnectionPool<C, W> {
    /** The result of a request for a stream. */
    public sealed interface StreamGrant<C> {
        /** The request gets a stream on the connection; it is active until {@link ConnectionPool#streamClosed}. */
        record Granted<C>(C connection) implements StreamGrant<C> {}

        /** The request waits in the queue; {@code openConnection}: the caller must also open a connection. */
        record Queued<C>(boolean shouldOpenConnection) implements StreamGrant<C> {}

        /**
         * The request gets no stream, because the queue is full or the last dial to the host failed; nothing was sent.
         */
        record Rejected<C>() implements StreamGrant<C> {}
    }

    /** A waiter that gets a stream on a connection. */
    public record Assignment<C, W>(W waiter, C connection) {}

    /** The actions that the owner of the pool must take after an event, in the order of the record components. */
    public record Actions<C, W>(
            List<Assignment<C, W>> assigned,
            List<W> rejected,
            List<C> connectionsToClose,
            boolean shouldOpenConnection) {}

    /**
     * The limits of a connection pool.
     *
     * @param maxConnections maximum number of connections to the host
     * @param maxStreams     maximum number of streams on one connection; also assumed until the host has sent its
     *                       settings
     * @param maxWaiters     maximum number of requests that wait in the queue
     * @param maxIdleMs      time after which a connection without streams is closed
     * @param minRedialBackoffMs    backoff after the first failed dial
     * @param maxRedialBackoffMs    upper limit of the exponential backoff after failed dials
     */
    public record Limits(
            int maxConnections,
            int maxStreams,
            int maxWaiters,
            double maxIdleMs,
            double minRedialBackoffMs,
            double maxRedialBackoffMs) {}

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
    private int dialsInProgress;
    private int expectedStreamsPerConnection; // stream limit of the connection that was opened last
    private boolean retired;
    private double redialBackoffMs;
    private double nextDialNotBeforeMs = Double.NEGATIVE_INFINITY;

    /** Creates a pool without connections. */
    public ConnectionPool(Limits limits) {
        this.limits = limits;
        expectedStreamsPerConnection = limits.maxStreams();
    }

    /** Requests a stream for a waiter: grants one, queues the waiter or rejects it. */
    public StreamGrant<C> requestStream(W waiter, double nowMs) {
        PooledConnection<C> fullestConnection = fullestConnectionWithCapacity();
        if (fullestConnection != null) {
            fullestConnection.activeStreams++;
            return new StreamGrant.Granted<>(fullestConnection.connection);
        }
        if (waiters.size() >= limits.maxWaiters()) {
            return new StreamGrant.Rejected<>();
        }
        boolean shouldOpen = canOpenConnection(nowMs);
        if (!shouldOpen && dialsInProgress == 0 && areAllGoingAway()) {
            return new StreamGrant.Rejected<>();
        }
        waiters.add(waiter);
        dialsInProgress += shouldOpen ? 1 : 0;
        return new StreamGrant.Queued<>(shouldOpen);
    }

    /** Removes a waiter from the queue; false if the waiter was already assigned a stream or rejected. */
    public boolean cancel(W waiter) {
        return waiters.remove(waiter);
    }

    /** Adds a connection whose dial succeeded and on which the host accepts {@code maxStreams} streams. */
    public Actions<C, W> connectionOpened(C connection, int maxStreams, double nowMs) {
        dialsInProgress--;
        redialBackoffMs = 0;
        expectedStreamsPerConnection = Math.max(1, maxStreams);
        connections.add(new PooledConnection<>(connection, maxStreams, nowMs));
        return actionsAfterEvent(nowMs);
    }

    /** Records a failed dial and starts the backoff before the next one. */
    public Actions<C, W> dialFailed(double nowMs) {
        dialsInProgress--;
        redialBackoffMs =
                Math.min(limits.maxRedialBackoffMs(), Math.max(limits.minRedialBackoffMs(), 2 * redialBackoffMs));
        nextDialNotBeforeMs = nowMs + redialBackoffMs;
        return actionsAfterEvent(nowMs);
    }

    /** Changes the number of concurrent streams that the host accepts on a connection (RFC 9113, 6.5.2). */
    public Actions<C, W> maxStreamsChanged(C connection, int maxStreams, double nowMs) {
        for (PooledConnection<C> pooled : connections) {
            if (pooled.connection.equals(connection)) {
                pooled.maxStreams = maxStreams;
            }
        }
        return actionsAfterEvent(nowMs);
    }

    /** Records that a stream of a connection has ended. */
    public Actions<C, W> streamClosed(C connection, double nowMs) {
        for (PooledConnection<C> pooled : connections) {
            if (pooled.connection.equals(connection)) {
                pooled.streamClosed(nowMs);
            }
        }
        return actionsAfterEvent(nowMs);
    }

    /** Records a GOAWAY: the connection takes no new streams, and its active streams continue (RFC 9113, 6.8). */
    public Actions<C, W> connectionGoingAway(C connection, double nowMs) {
        for (PooledConnection<C> pooled : connections) {
            if (pooled.connection.equals(connection)) {
                pooled.goingAway = true;
            }
        }
        return actionsAfterEvent(nowMs);
    }

    /** Removes a connection that was lost or closed; the transport ends its streams. */
    public Actions<C, W> connectionLost(C connection, double nowMs) {
        connections.removeIf(pooled -> pooled.connection.equals(connection));
        return actionsAfterEvent(nowMs);
    }

    /**
     * Sets whether the host is retired: a retired host's idle connections are closed, and its active streams continue.
     */
    public Actions<C, W> setRetired(boolean isRetired, double nowMs) {
        retired = isRetired;
        return actionsAfterEvent(nowMs);
    }

    /** Closes connections that have been idle for too long; the caller calls this method periodically. */
    public Actions<C, W> closeIdle(double nowMs) {
        return actionsAfterEvent(nowMs);
    }

    /** Returns the number of active streams on all connections. */
    public int activeStreams() {
        return connections.stream().mapToInt(pooled -> pooled.activeStreams).sum();
    }

    /** Whether a request waits for a stream. */
    public boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    /** Whether another connection can be opened; this requires that the dials in progress cannot serve all waiters. */
    private boolean canOpenConnection(double nowMs) {
        long usableConnections =
                connections.stream().filter(pooled -> !pooled.goingAway).count();
        return nowMs >= nextDialNotBeforeMs
                && usableConnections + dialsInProgress < limits.maxConnections()
                && waiters.size() >= dialsInProgress * expectedStreamsPerConnection;
    }

    private boolean areAllGoingAway() {
        return connections.stream().allMatch(pooled -> pooled.goingAway);
    }

    private PooledConnection<C> fullestConnectionWithCapacity() {
        PooledConnection<C> fullestConnection = null;
        for (PooledConnection<C> pooled : connections) {
            if (pooled.hasCapacity()
                    && (fullestConnection == null || pooled.activeStreams > fullestConnection.activeStreams)) {
                fullestConnection = pooled;
            }
        }
        return fullestConnection;
    }

    private Actions<C, W> actionsAfterEvent(double nowMs) {
        List<Assignment<C, W>> assigned = assignWaiters();
        List<W> rejected = new ArrayList<>();
        boolean shouldOpen = false;
        if (!waiters.isEmpty() && dialsInProgress == 0 && areAllGoingAway()) { // no connection will serve the waiters
            shouldOpen = canOpenConnection(nowMs);
            if (!shouldOpen) {
                rejected.addAll(waiters);
                waiters.clear();
            }
        }
        dialsInProgress += shouldOpen ? 1 : 0;
        return new Actions<>(assigned, rejected, removeUnusedConnections(nowMs), shouldOpen);
    }

    private List<Assignment<C, W>> assignWaiters() {
        List<Assignment<C, W>> assigned = new ArrayList<>();
        PooledConnection<C> fullestConnection = fullestConnectionWithCapacity();
        while (fullestConnection != null && !waiters.isEmpty()) {
            fullestConnection.activeStreams++;
            assigned.add(new Assignment<>(waiters.poll(), fullestConnection.connection));
            fullestConnection = fullestConnectionWithCapacity();
        }
        return assigned;
    }

    private List<C> removeUnusedConnections(double nowMs) {
        List<C> removed = new ArrayList<>();
        connections.removeIf(pooled -> {
            boolean isIdleTooLong = nowMs - pooled.idleSinceMs >= limits.maxIdleMs();
            boolean isUnused = pooled.activeStreams <= 0 && (pooled.goingAway || retired || isIdleTooLong);
            if (isUnused) {
                removed.add(pooled.connection);
            }
            return isUnused;
        });
        return removed;
    }
}
