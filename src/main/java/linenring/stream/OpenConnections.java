package linenring.stream;

import java.nio.channels.SelectableChannel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The set of open connections and accepted sockets, under one limit. At the limit an unidentified peer is evicted for each new
 * connection, which may be a proxy's: otherwise a client that opens connections and sends nothing could lock out the fleet.
 * Thread-safe: guarded by its own monitor.
 */
final class OpenConnections {
    /** Number of reserved sockets that new connections may use while evicted connections are being closed. */
    private static final int SPARE_SOCKETS = 12;

    /** Minimum age for eviction: the identification of a newer peer may have arrived but not been read yet. */
    private static final long MIN_EVICTION_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The connections and sockets that were open when the set was closed. */
    record Remaining(List<PeerConnection> connections, List<SelectableChannel> accepting) {}

    private final int maxConnections;
    private final Set<PeerConnection> connections = new LinkedHashSet<>(); // oldest first; @GuardedBy("this")
    /** Accepted sockets that are not yet connections. @GuardedBy("this") */
    private final Set<SelectableChannel> acceptedSockets = new HashSet<>();

    private boolean isClosed; // @GuardedBy("this")

    OpenConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    int maxConnections() {
        return maxConnections;
    }

    /** Reserves a slot for an accepted socket; returns false if the caller must close it, at the limit or after {@link #close}. */
    synchronized boolean reserve(SelectableChannel channel) {
        // no callback reports a socket that was closed before it became a connection
        acceptedSockets.removeIf(reserved -> !reserved.isOpen());
        if (isClosed || connections.size() + acceptedSockets.size() >= maxConnections + SPARE_SOCKETS) {
            return false;
        }
        acceptedSockets.add(channel);
        return true;
    }

    /** Releases the slot of an accepted socket that becomes a connection; the caller then calls {@link #add}. */
    synchronized void release(SelectableChannel channel) {
        acceptedSockets.remove(channel);
    }

    /** Adds a connection; beyond the limit, returns the connection that the caller must close, which may be the new one. */
    synchronized Optional<PeerConnection> add(PeerConnection connection, long nowNanos) {
        connections.add(connection);
        if (connections.size() <= maxConnections) {
            return Optional.empty();
        }
        PeerConnection evicted = connections.stream()
                .filter(open -> !open.isIdentified() && open.isOpenedBefore(nowNanos - MIN_EVICTION_AGE_NANOS))
                .findFirst()
                .orElse(connection);
        connections.remove(evicted);
        return Optional.of(evicted);
    }

    synchronized void remove(PeerConnection connection) {
        connections.remove(connection);
    }

    synchronized List<PeerConnection> snapshot() {
        return List.copyOf(connections);
    }

    synchronized boolean isClosed() {
        return isClosed;
    }

    /** Closes the set, so that no more slots are reserved; the caller must close the returned connections and sockets. */
    synchronized Remaining close() {
        isClosed = true;
        Remaining remaining = new Remaining(List.copyOf(connections), List.copyOf(acceptedSockets));
        acceptedSockets.clear();
        return remaining;
    }
}
