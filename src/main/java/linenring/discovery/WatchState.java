package linenring.discovery;

import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import linenring.protocol.ServiceScope;

/**
 * The watched sources: the serving source and, while discovery moves, the source that serves next once it has sent usable
 * data. The monitor of this object also guards the sources and the versions of {@link EndpointListApplier}.
 */
final class WatchState {
    /** Reason for ending an attempt at a source that is no longer watched. */
    static final String SOURCE_NOT_WATCHED = "discovery has moved to another address or scope";

    private EndpointSource servingSource; // @GuardedBy("this")
    private EndpointSource nextSource; // null unless discovery is moving; @GuardedBy("this")

    /** Result of a move: the earlier target that was replaced, and which properties of the serving source are kept. */
    record MoveResult(Optional<EndpointSource> abandoned, boolean staysAtServing, boolean keepsScope) {}

    WatchState(EndpointSource servingSource) {
        this.servingSource = servingSource;
    }

    synchronized EndpointSource servingSource() {
        return servingSource;
    }

    synchronized Optional<EndpointSource> nextSource() {
        return Optional.ofNullable(nextSource);
    }

    synchronized boolean isWatched(EndpointSource source) {
        return !source.isAbandoned() && (source == servingSource || source == nextSource);
    }

    /** Whether a move to this address and scope is already in progress. */
    synchronized boolean isMovingTo(InetSocketAddress address, ServiceScope scope) {
        return nextSource != null && nextSource.hasAddressAndScope(address, scope);
    }

    /** Makes the target the next source, in place of an earlier one; a target equal to the serving source cancels the move. */
    synchronized MoveResult moveTo(EndpointSource target) {
        EndpointSource abandoned = nextSource;
        boolean staysAtServing = servingSource.hasAddressAndScope(target.address(), target.scope());
        nextSource = staysAtServing ? null : target;
        return new MoveResult(
                Optional.ofNullable(abandoned),
                staysAtServing,
                servingSource.scope().equals(target.scope()));
    }

    /**
     * Makes a source that has sent usable data the serving source. Returns the source that served before; empty if the given
     * source already served.
     */
    synchronized Optional<EndpointSource> promote(EndpointSource source) throws AttemptAbortedException {
        requireWatched(source);
        if (source == servingSource) {
            return Optional.empty();
        }
        EndpointSource previous = servingSource;
        servingSource = source;
        nextSource = null;
        return Optional.of(previous);
    }

    synchronized void requireWatched(EndpointSource source) throws AttemptAbortedException {
        if (!isWatched(source)) {
            throw new AttemptAbortedException(SOURCE_NOT_WATCHED);
        }
    }

    /** Stops further attempts at the source, and returns its open connection for the caller to close, if there is one. */
    synchronized Optional<AgentConnection> abandon(EndpointSource source) {
        source.abandon();
        return source.connection();
    }

    synchronized void setChannel(EndpointSource source, SocketChannel channel) {
        source.setChannel(channel);
    }

    /** Returns the source whose last attempt uses this channel; empty if that source is no longer watched. */
    synchronized Optional<EndpointSource> sourceUsingChannel(SelectableChannel channel) {
        if (servingSource.usesChannel(channel)) {
            return Optional.of(servingSource);
        }
        return nextSource().filter(source -> source.usesChannel(channel));
    }

    /** Records the source's open connection, and returns whether the source is still watched. */
    synchronized boolean registerConnection(EndpointSource source, AgentConnection connection) {
        source.setConnection(connection);
        return isWatched(source);
    }

    synchronized Optional<AgentConnection> nextConnection() {
        return nextSource().flatMap(EndpointSource::connection);
    }

    /** Returns the serving source's connection if the given source is the next one to serve, or else empty. */
    synchronized Optional<AgentConnection> servingConnectionIfNext(EndpointSource source) {
        boolean isNext = !source.isAbandoned() && source == nextSource;
        return isNext ? servingSource.connection() : Optional.empty();
    }
}
