package linenring.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import linenring.gateway.settings.GatewaySettings;
import linenring.routing.HostRegistry;
import linenring.routing.Tables;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.util.thread.Scheduler;

/** The connections to all hosts, made at a host's first request. Thread-safe. */
final class UpstreamRegistry {
    private final GatewaySettings settings;
    private final HostRegistry hosts;
    private final Tables tables;
    private final HTTP2Client client;
    private final Scheduler scheduler;
    private final GatewayClock clock;
    private final Map<Integer, UpstreamConnections> byHost = new ConcurrentHashMap<>();

    UpstreamRegistry(
            GatewaySettings settings,
            HostRegistry hosts,
            Tables tables,
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

    /** The connections to the host with this index. */
    UpstreamConnections upstream(int host) {
        return byHost.computeIfAbsent(
                host,
                index -> new UpstreamConnections(
                        client, hosts.host(index), settings.pool(), settings.dialTimeoutMs(), scheduler, clock));
    }

    /**
     * Tables or the endpoint list have changed: connections to hosts that are not to be used any more are retired. A host
     * that has moved is dialed at its new address by connections made anew.
     */
    void refresh() {
        byHost.entrySet().removeIf(entry -> {
            int host = entry.getKey();
            UpstreamConnections connections = entry.getValue();
            boolean moved =
                    !Objects.equals(connections.address(), hosts.host(host).address());
            boolean unused = !hosts.host(host).isListed() || !tables.isEligibleAnywhere(host);
            connections.setRetired(moved || unused);
            return moved;
        });
    }

    void closeIdleConnections() {
        byHost.values().forEach(UpstreamConnections::closeIdle);
    }
}
