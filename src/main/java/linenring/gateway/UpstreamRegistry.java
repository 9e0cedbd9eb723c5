package linenring.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import linenring.gateway.settings.GatewaySettings;
import linenring.routing.EndpointTables;
import linenring.routing.HostRegistry;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.util.thread.Scheduler;

/** The connections to all hosts; those of one host are created at its first request. Thread-safe. */
final class UpstreamRegistry {
    private final GatewaySettings settings;
    private final HostRegistry hosts;
    private final EndpointTables tables;
    private final HTTP2Client client;
    private final Scheduler scheduler;
    private final GatewayClock clock;
    private final Map<Integer, UpstreamConnections> connectionsByHost = new ConcurrentHashMap<>();

    UpstreamRegistry(
            GatewaySettings settings,
            HostRegistry hosts,
            EndpointTables tables,
            HTTP2Client client,
            Scheduler scheduler,
            GatewayClock clock) {
        this.settings = settings;
        this.hosts = hosts;
        this.tables = tables;
        this.client = client;
        this.scheduler = scheduler;
        this.clock = clock;
    }

    /** Returns the connections to the host with the given index, creating them if necessary. */
    UpstreamConnections upstream(int host) {
        return connectionsByHost.computeIfAbsent(
                host,
                index -> new UpstreamConnections(
                        client, hosts.host(index), settings.pool(), settings.dialTimeoutMs(), scheduler, clock));
    }

    /**
     * Retires connections to hosts that are not used any more, after a change of the tables or the endpoint list. If a
     * host's address has changed, the next request opens new connections to the new address.
     */
    void refresh() {
        connectionsByHost.entrySet().removeIf(entry -> {
            int host = entry.getKey();
            UpstreamConnections connections = entry.getValue();
            boolean hasMoved =
                    !Objects.equals(connections.address(), hosts.host(host).address());
            boolean isUnused = !hosts.host(host).isReady() || !tables.isEligibleForAnyOperation(host);
            connections.setRetired(hasMoved || isUnused);
            return hasMoved;
        });
    }

    /** Whether a request waits for a stream to a host. */
    boolean hasWaiters() {
        return connectionsByHost.values().stream().anyMatch(UpstreamConnections::hasWaiters);
    }

    void closeIdleConnections() {
        connectionsByHost.values().forEach(UpstreamConnections::closeIdle);
    }
}
