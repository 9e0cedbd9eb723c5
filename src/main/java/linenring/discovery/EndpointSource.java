package linenring.discovery;

import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import linenring.protocol.ServiceScope;

/**
 * The address of one discovery agent, with the scope under which its lists are read. Connection attempts to the address follow
 * one another until the source is abandoned. Non-final fields are guarded by the monitor of {@link WatchState}.
 */
final class EndpointSource {
    private final InetSocketAddress address;
    private final ServiceScope scope;
    private final SourceHistory history;
    private final Backoff backoff = new Backoff();
    private boolean isAbandoned;
    private SocketChannel channel; // channel of the last attempt
    private AgentConnection connection; // open connection; null between attempts

    EndpointSource(InetSocketAddress address, ServiceScope scope, boolean isMoveTarget) {
        this.address = address;
        this.scope = scope;
        history = new SourceHistory(isMoveTarget, scope);
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

    /** Whether this source has the given address and scope. */
    boolean hasAddressAndScope(InetSocketAddress otherAddress, ServiceScope otherScope) {
        return address.equals(otherAddress) && scope.equals(otherScope);
    }

    boolean isAbandoned() {
        return isAbandoned;
    }

    void abandon() {
        isAbandoned = true;
    }

    boolean usesChannel(Object other) {
        return channel == other;
    }

    void setChannel(SocketChannel attempt) {
        channel = attempt;
    }

    Optional<AgentConnection> connection() {
        return Optional.ofNullable(connection);
    }

    void setConnection(AgentConnection opened) {
        connection = opened;
    }

    void clearConnection() {
        connection = null;
    }

    @Override
    public String toString() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
