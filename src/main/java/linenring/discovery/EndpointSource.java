package linenring.discovery;

import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import linenring.protocol.ServiceScope;

/**
 * One address of discovery's agent, read under one scope: attempts are made there, one after the other, until it is
 * abandoned. What is not final is guarded by its {@link WatchState}.
 */
final class EndpointSource {
    private final InetSocketAddress address;
    private final ServiceScope scope;
    private final SourceHistory history;
    private final Backoff backoff = new Backoff();
    private boolean abandoned;
    private SocketChannel channel; // the last attempt's
    private AgentConnection connection; // null between attempts

    EndpointSource(InetSocketAddress address, ServiceScope scope, boolean movedTo) {
        this.address = address;
        this.scope = scope;
        history = new SourceHistory(movedTo, scope);
    }

    InetSocketAddress address() {
        return address;
    }

    ServiceScope scope() {
        return scope;
    }

    SourceHistory history() {
        return history;
    }

    Backoff backoff() {
        return backoff;
    }

    /** Whether reading that address under that scope would deliver the same. */
    boolean isSameAs(InetSocketAddress otherAddress, ServiceScope otherScope) {
        return address.equals(otherAddress) && scope.equals(otherScope);
    }

    boolean isAbandoned() {
        return abandoned;
    }

    void abandon() {
        abandoned = true;
    }

    boolean isDialledWith(Object other) {
        return channel == other;
    }

    void dialled(SocketChannel attempt) {
        channel = attempt;
    }

    Optional<AgentConnection> connection() {
        return Optional.ofNullable(connection);
    }

    void connected(AgentConnection opened) {
        connection = opened;
    }

    void disconnected() {
        connection = null;
    }

    @Override
    public String toString() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
