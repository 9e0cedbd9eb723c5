package linenring.stream;

import java.nio.channels.SelectableChannel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections that are open and the sockets on their way there, under one limit. Where the limit is reached, peers that
 * have not identified themselves make room for the next connection, which may be a proxy's: otherwise whoever opens sockets
 * and says nothing could keep the fleet out. Thread-safe: guarded by its own monitor.
 */
final class OpenConnections {
    /** Sockets of the process's own reserve that connections may occupy while others are being closed for them. */
    private static final int SPARE_SOCKETS = 12;

    /** A peer that is as new may have identified itself already, in bytes that are not read yet: older ones go first. */
    private static final long MIN_EVICTION_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Everything that was open when the set was closed. */
    record Remaining(List<PeerConnection> connections, List<SelectableChannel> accepting) {}

    private final int maxConnections;
    private final Set<PeerConnection> connections = new LinkedHashSet<>(); // oldest first; @GuardedBy("this")
    private final Set<SelectableChannel> accepting = new HashSet<>(); // accepted, no connection yet; @GuardedBy("this")
    private boolean isClosed; // @GuardedBy("this")

    OpenConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    int maxConnections() {
        return maxConnections;
    }

    /** Reserves a place for an accepted socket; false where it must be closed: nobody could make room, or all is closed. */
    synchronized boolean reserve(SelectableChannel channel) {
        accepting.removeIf(reserved -> !reserved.isOpen()); // no callback reports a socket that died on its way
        if (isClosed || connections.size() + accepting.size() >= maxConnections + SPARE_SOCKETS) {
            return false;
        }
        accepting.add(channel);
        return true;
    }

    /** The socket becomes a connection; {@link #add} follows. */
    synchronized void release(SelectableChannel channel) {
        accepting.remove(channel);
    }

    /** Adds a connection; where that makes one too many, the one that has to be closed for it, perhaps itself. */
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

    /** From here on nothing is reserved; the caller closes what remains. */
    synchronized Remaining close() {
        isClosed = true;
        Remaining remaining = new Remaining(List.copyOf(connections), List.copyOf(accepting));
        accepting.clear();
        return remaining;
    }
}
