package linenring.discovery;

import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import linenring.protocol.ServiceScope;

/**
 * One address of discovery's agent, read under one scope: attempts are made there, one after the other, until it is left.
 * What is not final is guarded by the watch.
 */
final class Source {
    static final long REDIAL_LEAST_MS = 20;

    final InetSocketAddress at;
    final ServiceScope scope;
    final Versions.Told told;
    long wait = REDIAL_LEAST_MS; // before the next attempt, in ms
    boolean left;
    SocketChannel dialled; // the last attempt's
    AgentConnection open;

    Source(InetSocketAddress at, ServiceScope scope, boolean movedTo) {
        this.at = at;
        this.scope = scope;
        told = new Versions.Told(movedTo, scope);
    }

    /** Whether it tells the same as one at that address under that scope. */
    boolean isAt(InetSocketAddress address, ServiceScope under) {
        return at.equals(address) && scope.equals(under);
    }

    @Override
    public String toString() {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }
}
