package linenring.discovery;

import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import linenring.protocol.ServiceScope;

/**
 * Which sources are watched: the one that serves and, while discovery moves, the one that is next to serve once it delivers
 * something. Its monitor guards the sources too, and the versions of {@link EndpointListApplier}.
 */
final class WatchState {
    /** The reason for ending an attempt at a source that is no longer watched. */
    static final String MOVED_ON = "discovery has moved on";

    private EndpointSource serving; // @GuardedBy("this")
    private EndpointSource next; // null where discovery does not move; @GuardedBy("this")

    /** What a move has changed. */
    record Move(Optional<EndpointSource> abandoned, boolean staysAtServing, boolean keepsScope) {}

    WatchState(EndpointSource serving) {
        this.serving = serving;
    }

    synchronized EndpointSource serving() {
        return serving;
    }

    synchronized Optional<EndpointSource> next() {
        return Optional.ofNullable(next);
    }

    synchronized boolean isWatched(EndpointSource source) {
        return !source.isAbandoned() && (source == serving || source == next);
    }

    /** Whether discovery moves there already. */
    synchronized boolean isMovingTo(InetSocketAddress address, ServiceScope scope) {
        return next != null && next.isSameAs(address, scope);
    }

    /** The source is the next to serve, in place of one that was next before, unless that would be the serving one again. */
    synchronized Move moveTo(EndpointSource target) {
        EndpointSource abandoned = next;
        boolean stays = serving.isSameAs(target.address(), target.scope());
        next = stays ? null : target;
        return new Move(Optional.ofNullable(abandoned), stays, serving.scope().equals(target.scope()));
    }

    /**
     * The source has delivered something: from here on it serves. Returns the one that served before, empty where the source
     * did already.
     */
    synchronized Optional<EndpointSource> promote(EndpointSource source) throws AttemptAbortedException {
        requireWatched(source);
        if (source == serving) {
            return Optional.empty();
        }
        EndpointSource previous = serving;
        serving = source;
        next = null;
        return Optional.of(previous);
    }

    synchronized void requireWatched(EndpointSource source) throws AttemptAbortedException {
        if (!isWatched(source)) {
            throw new AttemptAbortedException(MOVED_ON);
        }
    }

    /** No further attempt is made at the source; the caller closes its connection, if there is one. */
    synchronized Optional<AgentConnection> abandon(EndpointSource source) {
        source.abandon();
        return source.connection();
    }

    synchronized void dialled(EndpointSource source, SocketChannel channel) {
        source.dialled(channel);
    }

    /** Whose last attempt was made with this channel; empty where it was abandoned meanwhile. */
    synchronized Optional<EndpointSource> dialledWith(SelectableChannel channel) {
        if (serving.isDialledWith(channel)) {
            return Optional.of(serving);
        }
        return next().filter(source -> source.isDialledWith(channel));
    }

    /** False where discovery has moved on meanwhile. */
    synchronized boolean connected(EndpointSource source, AgentConnection connection) {
        source.connected(connection);
        return isWatched(source);
    }

    synchronized Optional<AgentConnection> nextConnection() {
        return next().flatMap(EndpointSource::connection);
    }

    /** The connection of the source that serves, where this one is about to take over from it. */
    synchronized Optional<AgentConnection> servingConnectionBefore(EndpointSource source) {
        boolean isNext = !source.isAbandoned() && source == next;
        return isNext ? serving.connection() : Optional.empty();
    }
}
