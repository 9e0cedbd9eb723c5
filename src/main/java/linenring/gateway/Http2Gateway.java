package linenring.gateway;

import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import linenring.event.EventQueue;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.routing.EndpointTables;
import linenring.routing.HostRegistry;
import linenring.routing.LoadStatistics;
import linenring.routing.OperationPolicy;
import linenring.routing.RecentExecutions;
import linenring.routing.RetryBudget;
import linenring.routing.RetryContext;
import org.eclipse.jetty.http2.client.HTTP2Client;

/**
 * An HTTP/2 reverse proxy (RFC 9113) in the controller's process. The gateway forwards requests from client sessions to
 * host sessions, with one {@link ProxiedRequest} for each client stream. The controller sends endpoint tables to the
 * gateway as to any other proxy.
 *
 * <p>The gateway runs on threads of its own, which never block. Its methods may be called from any thread.
 */
public final class Http2Gateway {
    /** Subject of the gateway's log lines. */
    static final String LOG_SUBJECT = "gateway";

    /** Subject of log lines about a single client. */
    static final String CLIENT_LOG_SUBJECT = "client";

    /** Interval between checks for stalled requests and idle connections, a small part of their timeouts. */
    private static final long SWEEP_INTERVAL_MS = 250;

    private static final long BYTES_PER_MIB = 1 << 20;

    private final GatewaySettings settings;
    private final Log log;
    private final EndpointTables tables;
    private final GatewayTransport transport;
    private final RequestServices services;
    private final GracefulShutdown shutdown;
    private final RequestDispatcher dispatcher;
    private final ControllerSubscription subscription;

    private Http2Gateway(
            GatewaySettings settings,
            AdmissionUnit measure,
            HostRegistry hosts,
            EventQueue events,
            Supplier<HTTP2Client> clientFactory,
            Log log) {
        this.settings = settings;
        this.log = log;
        GatewayClock clock = new GatewayClock();
        List<String> operations =
                settings.operations().stream().map(OperationPolicy::operation).toList();
        tables = new EndpointTables(
                operations,
                hosts,
                measure,
                settings.outlierEjection().consecutiveFailures(),
                settings.outlierEjection().ejectionMs());
        MemoryLimits limits = MemoryLimits.of(settings, Runtime.getRuntime().maxMemory());
        logLowered(limits);
        transport = new GatewayTransport(settings, limits.maxConnections(), clientFactory, log);
        services = new RequestServices(
                clock,
                transport.scheduler(),
                new UpstreamRegistry(settings, hosts, tables, transport.client(), transport.scheduler(), clock),
                new LoadStatistics(settings.proxy(), settings.zone(), hosts, operations.size(), clock.nowMs()),
                new RequestOutcomes(operations, hosts, (long) settings.clients().maxStallMs(), log));
        shutdown = new GracefulShutdown(settings.maxDrainMs(), clock, transport.scheduler(), log);
        dispatcher = new RequestDispatcher(settings, limits, services, retryContext(hosts, limits), shutdown, log);
        subscription = new ControllerSubscription(settings, events, tables, services, transport.threads(), log);
    }

    private void logLowered(MemoryLimits limits) {
        if (limits.isBelow(settings)) {
            log.info(
                    LOG_SUBJECT,
                    "limits are lowered to what the heap of "
                            + Runtime.getRuntime().maxMemory() / BYTES_PER_MIB + " MiB can hold: connections="
                            + limits.maxConnections() + " in-all=" + limits.maxTotalRequestBytes() / BYTES_PER_MIB
                            + "MiB kept-in-all=" + limits.maxTotalRetainedBytes() / BYTES_PER_MIB + "MiB");
        }
    }

    private RetryContext retryContext(HostRegistry hosts, MemoryLimits limits) {
        GatewaySettings.Retries retries = settings.retries();
        return new RetryContext(
                tables,
                hosts,
                new RetryBudget(retries.budgetShare(), retries.minRetries(), retries.budgetWindowMs()),
                new RecentExecutions(limits.maxRememberedKeys()),
                retries.attemptTimeoutObjectives(),
                new PerThreadRandom(System.nanoTime()));
    }

    /**
     * Creates a gateway that listens for clients and subscribes to the controller.
     *
     * @param hosts a registry that has followed the endpoint list from its first version
     * @throws GatewayStartException for example if the listen address is in use
     */
    public static Http2Gateway start(
            GatewaySettings settings,
            AdmissionUnit measure,
            HostRegistry hosts,
            EventQueue events,
            ListenOptions options,
            Log log)
            throws GatewayStartException {
        return start(settings, measure, hosts, events, options, log, HTTP2Client::new);
    }

    /** Creates a gateway like the public method, with the caller's HTTP/2 client for connections to hosts. */
    static Http2Gateway start(
            GatewaySettings settings,
            AdmissionUnit measure,
            HostRegistry hosts,
            EventQueue events,
            ListenOptions options,
            Log log,
            Supplier<HTTP2Client> clientFactory)
            throws GatewayStartException {
        Http2Gateway gateway = new Http2Gateway(settings, measure, hosts, events, clientFactory, log);
        try {
            gateway.start(events, options);
        } catch (Exception failure) { // Jetty's start() may throw any exception
            gateway.close();
            throw new GatewayStartException(failure);
        }
        return gateway;
    }

    private void start(EventQueue events, ListenOptions options) throws Exception {
        transport.start(new ClientSessionListener(shutdown, dispatcher, log), options);
        events.addHostListListener(
                list -> services.upstreams().refresh()); // the host registry was updated by an earlier listener
        transport.startServer();
        subscription.subscribe();
        subscription.sendReport();
        sweep();
        log.info(
                LOG_SUBJECT,
                (options.acceptsAtOnce() ? "accepts requests at " : "is ready to accept requests at ") + address());
    }

    private void sweep() {
        try {
            dispatcher.endStalledRequests();
            services.upstreams().closeIdleConnections();
        } finally {
            transport.scheduler().schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Begins a graceful shutdown, in which active requests finish and new ones are refused; later calls have no effect. */
    public void drain() {
        shutdown.begin();
    }

    /** Waits until the drain is complete, then ends the subscription to the controller. */
    public void awaitDrained() throws InterruptedException {
        shutdown.awaitCompletion();
        subscription.unsubscribe();
    }

    /** Stops accepting connections; the listening socket stays open so that another process can accept on it. */
    public void stopAccepting() {
        transport.stopAccepting();
    }

    /** Starts or resumes accepting connections; a drain in progress is cancelled for new sessions and streams. */
    public void startAccepting() {
        shutdown.cancel();
        try {
            transport.startAccepting();
            log.info(LOG_SUBJECT, "accepts requests at " + address());
        } catch (Exception failure) { // Jetty's start() may throw any exception
            log.error(LOG_SUBJECT, "cannot accept connections: " + failure);
        }
    }

    /** Whether the gateway has received an endpoint table to pick hosts from. */
    public boolean hasTables() {
        return !tables.isEmpty();
    }

    /** The socket on which the gateway listens. */
    public ServerSocketChannel listeningSocket() {
        return transport.listeningSocket();
    }

    /** Stops the gateway immediately, without a graceful shutdown. */
    public void close() {
        try {
            transport.stop();
        } catch (Exception failure) { // Jetty's stop() may throw any exception
            log.warn(LOG_SUBJECT, "cannot stop cleanly: " + failure.getMessage());
        }
    }

    private String address() {
        return settings.listen().getAddress().getHostAddress() + ":" + port();
    }

    /** The port on which the gateway listens. */
    public int port() {
        return transport.port();
    }

    /** Number of active requests. */
    public int activeRequests() {
        return dispatcher.activeRequests();
    }

    /** Formats how many requests of each operation succeeded, errored, were rate-limited, had no host, timed out or lost their client. */
    public String totals() {
        return services.outcomes().totals();
    }
}
