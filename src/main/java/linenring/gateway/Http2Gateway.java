package linenring.gateway;

import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import linenring.event.EventQueue;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.planner.PlannerSettings.Measure;
import linenring.routing.HostRegistry;
import linenring.routing.OperationPolicy;
import linenring.routing.RetryBudget;
import linenring.routing.RetryContext;
import linenring.routing.RollingStatistics;
import linenring.routing.Tables;
import org.eclipse.jetty.http2.client.HTTP2Client;

/**
 * An HTTP/2 reverse proxy (RFC 9113) inside the controller's process: clients' sessions on one side, hosts' on the other,
 * and one {@link ProxiedRequest} for each stream of a client. Its tables are those of one more proxy of the controller.
 *
 * <p>It runs on threads of its own, which never wait; methods may be called from any thread.
 */
public final class Http2Gateway {
    /** What its log lines begin with. */
    static final String LOG_SUBJECT = "gateway";

    /** What log lines about a single client begin with. */
    static final String CLIENT_LOG_SUBJECT = "client";

    /** How often stalled requests and idle connections are looked for: a small part of any such time. */
    private static final long SWEEP_MS = 250;

    private final GatewaySettings settings;
    private final Log log;
    private final Tables tables;
    private final GatewayTransport transport;
    private final RequestServices services;
    private final GracefulShutdown shutdown;
    private final RequestDispatcher dispatcher;
    private final ControllerSubscription subscription;

    private Http2Gateway(
            GatewaySettings settings,
            Measure measure,
            HostRegistry hosts,
            EventQueue events,
            Supplier<HTTP2Client> clientFactory,
            Log log) {
        this.settings = settings;
        this.log = log;
        GatewayClock clock = new GatewayClock();
        List<String> operations =
                settings.operations().stream().map(OperationPolicy::operation).toList();
        tables = new Tables(
                operations,
                hosts,
                measure,
                settings.outlierEjection().consecutiveFailures(),
                settings.outlierEjection().ejectionMs());
        transport = new GatewayTransport(settings, clientFactory, log);
        services = new RequestServices(
                clock,
                transport.scheduler(),
                new UpstreamRegistry(settings, hosts, tables, transport.client(), transport.scheduler(), clock),
                new RollingStatistics(settings.proxy(), settings.zone(), hosts, operations.size(), clock.nowMs()),
                new RequestOutcomes(operations, hosts, (long) settings.clients().maxStallMs(), log));
        shutdown = new GracefulShutdown(settings.maxDrainMs(), clock, transport.scheduler(), log);
        dispatcher = new RequestDispatcher(settings, services, retryContext(hosts), shutdown, log);
        subscription = new ControllerSubscription(settings, events, tables, services, transport.threads(), log);
    }

    private RetryContext retryContext(HostRegistry hosts) {
        GatewaySettings.Retries retries = settings.retries();
        return new RetryContext(
                tables,
                hosts,
                new RetryBudget(retries.budgetShare(), retries.minRetries(), retries.budgetWindowMs()),
                retries.attemptObjectives(),
                new PerThreadRandom(System.nanoTime()));
    }

    /**
     * Listens and subscribes to the controller.
     *
     * @param hosts follows the endpoint list from its beginning
     * @throws GatewayStartException for example where its address is taken
     */
    public static Http2Gateway start(
            GatewaySettings settings,
            Measure measure,
            HostRegistry hosts,
            EventQueue events,
            ListenOptions options,
            Log log)
            throws GatewayStartException {
        return start(settings, measure, hosts, events, options, log, HTTP2Client::new);
    }

    /** The same with a client of the caller's making towards the hosts. */
    static Http2Gateway start(
            GatewaySettings settings,
            Measure measure,
            HostRegistry hosts,
            EventQueue events,
            ListenOptions options,
            Log log,
            Supplier<HTTP2Client> clientFactory)
            throws GatewayStartException {
        Http2Gateway gateway = new Http2Gateway(settings, measure, hosts, events, clientFactory, log);
        try {
            gateway.start(events, options);
        } catch (Exception failure) { // Jetty's start() may throw any
            gateway.close();
            throw new GatewayStartException(failure);
        }
        return gateway;
    }

    private void start(EventQueue events, ListenOptions options) throws Exception {
        transport.start(new ClientSessionListener(shutdown, dispatcher, log), options);
        events.addHostListListener(
                list -> services.upstreams().refresh()); // the registry of hosts has the list by then
        transport.startServer();
        subscription.subscribe();
        subscription.report();
        sweep();
        log.info(
                LOG_SUBJECT, (options.acceptsAtOnce() ? "accepts requests at " : "is ready to accept at ") + address());
    }

    private void sweep() {
        try {
            dispatcher.endStalledRequests();
            services.upstreams().closeIdleConnections();
        } finally {
            transport.scheduler().schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Lets active requests finish and takes nothing new; does nothing where that has begun. */
    public void drain() {
        shutdown.begin();
    }

    /** Waits until a drain is over, and leaves the controller. */
    public void awaitDrained() throws InterruptedException {
        shutdown.awaitOver();
        subscription.leave();
    }

    /** Accepts nobody new; the socket stays open, so that another process may accept at it. */
    public void stopAccepting() {
        transport.stopAccepting();
    }

    /** Accepts, again or for the first time; a drain that has begun is called off for all who come from now on. */
    public void startAccepting() {
        shutdown.cancel();
        try {
            transport.startAccepting();
            log.info(LOG_SUBJECT, "accepts requests at " + address());
        } catch (Exception failure) { // Jetty's start() may throw any
            log.error(LOG_SUBJECT, "cannot accept: " + failure);
        }
    }

    /** Whether it has a table to pick from. */
    public boolean hasTables() {
        return !tables.isEmpty();
    }

    /** What it listens with. */
    public ServerSocketChannel listeningSocket() {
        return transport.listeningSocket();
    }

    /** Ends at once. */
    public void close() {
        try {
            transport.stop();
        } catch (Exception failure) { // Jetty's stop() may throw any
            log.warn(LOG_SUBJECT, "does not stop cleanly: " + failure.getMessage());
        }
    }

    private String address() {
        return settings.listen().getAddress().getHostAddress() + ":" + port();
    }

    /** The port that it listens on. */
    public int port() {
        return transport.port();
    }

    /** How many requests are active. */
    public int activeRequests() {
        return dispatcher.activeRequests();
    }

    /** By operation: how many succeeded, errored, were rate-limited, found no host, timed out, lost their client. */
    public String totals() {
        return services.outcomes().totals();
    }
}
