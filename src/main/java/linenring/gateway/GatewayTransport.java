package linenring.gateway;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import org.eclipse.jetty.http2.WindowRateControl;
import org.eclipse.jetty.http2.api.server.ServerSessionListener;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.server.RawHTTP2ServerConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** Creates and configures the Jetty components of a gateway: threads, timers, the server for clients, the client for hosts. */
final class GatewayTransport {
    /** Disables a Jetty timeout where the gateway has a timeout of its own. */
    static final long UNLIMITED = -1;

    /** Gateway threads never block; the limit leaves space for selectors, helper tasks and bursts. */
    private static final int MAX_THREADS = 32;

    private static final int MIN_THREADS = 4;

    /** Without acceptor threads no thread blocks in accept(), so that accepting can be stopped. */
    private static final int ACCEPTORS = 0;

    private static final int SELECTORS = 1;

    /** Number of connections that the kernel holds while no process accepts them during an upgrade. */
    private static final int ACCEPT_QUEUE_CONNECTIONS = 512;

    /**
     * Whether network buffers are outside the heap. Jetty holds one for each connection on which a header block has begun; when
     * the JVM's limit of direct memory is reached, each thread that needs a buffer waits for the garbage collector.
     */
    private static final boolean USES_DIRECT_BUFFERS = false;

    /** Minimum of the initial flow-control window of a session (RFC 9113, 6.9.2). */
    private static final int MIN_SESSION_WINDOW_BYTES = 65_535;

    private final GatewaySettings settings;
    private final int maxConnections;
    private final Log log;
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final Scheduler scheduler = new ScheduledExecutorScheduler("gateway-timer", true);
    private final HTTP2Client client;
    private Server server;
    private ServerConnector connector;

    /** The {@code clientFactory} allows a test to control the order of Jetty's events. */
    GatewayTransport(GatewaySettings settings, int maxConnections, Supplier<HTTP2Client> clientFactory, Log log) {
        this.settings = settings;
        this.maxConnections = maxConnections;
        this.log = log;
        client = clientFactory.get();
        threads.setName("gateway");
        threads.setDaemon(true);
    }

    /** Starts the threads and the client and creates the server, which {@link #startServer} starts. */
    void start(ServerSessionListener sessions, ListenOptions options) throws Exception {
        scheduler.start();
        server = new Server(threads, scheduler, null);
        createConnector(sessions, options);
        configureClient();
        threads.start();
        client.start();
    }

    void startServer() throws Exception {
        server.start();
    }

    private void createConnector(ServerSessionListener sessions, ListenOptions options) throws Exception {
        GatewaySettings.Clients clients = settings.clients();
        RawHTTP2ServerConnectionFactory http2 = connectionFactory(sessions);
        server.addBean(http2); // the server starts and stops the factory, since no connector owns it
        PrefaceConnectionFactory acceptor = new PrefaceConnectionFactory(http2, maxConnections, log);
        connector = new ServerConnector(server, ACCEPTORS, SELECTORS, acceptor);
        connector.setHost(settings.listen().getAddress().getHostAddress());
        connector.setPort(settings.listen().getPort());
        connector.setIdleTimeout((long) clients.idleTimeoutMs());
        connector.setReuseAddress(true);
        connector.setAcceptQueueSize(ACCEPT_QUEUE_CONNECTIONS);
        if (options.inheritedSocket() != null) {
            connector.open(options.inheritedSocket());
        }
        if (options.acceptsAtOnce()) {
            server.addConnector(connector);
        } // otherwise the first call of startAccepting() starts the connector
        connector.addBean(acceptor); // registers the factory as a listener of opened and closed connections
    }

    private RawHTTP2ServerConnectionFactory connectionFactory(ServerSessionListener sessions) {
        GatewaySettings.Clients clients = settings.clients();
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(clients.maxHeaderBytes());
        http.setResponseHeaderSize(clients.maxHeaderBytes());
        RawHTTP2ServerConnectionFactory http2 = new RawHTTP2ServerConnectionFactory(http, sessions);
        http2.setMaxConcurrentStreams(clients.maxStreams());
        http2.setFlowControlStrategyFactory(DeferredFlowControl::new);
        http2.setInitialStreamRecvWindow(settings.body().streamWindowBytes());
        http2.setInitialSessionRecvWindow(sessionWindowBytes(clients.maxStreams()));
        http2.setStreamIdleTimeout(UNLIMITED); // attempts, stalls and idle sessions have timeouts of their own
        http2.setRateControlFactory(new WindowRateControl.Factory(clients.maxFramesPerSecond()));
        http2.setMaxHeaderBlockFragment(clients.maxHeaderBytes());
        http2.setUseInputDirectByteBuffers(USES_DIRECT_BUFFERS);
        http2.setUseOutputDirectByteBuffers(USES_DIRECT_BUFFERS);
        return http2;
    }

    private void configureClient() {
        ClientConnector dialer = client.getClientConnector();
        dialer.setExecutor(threads);
        dialer.setScheduler(scheduler);
        dialer.setSelectors(SELECTORS);
        client.setFlowControlStrategyFactory(DeferredFlowControl::new);
        client.setInitialStreamRecvWindow(settings.body().streamWindowBytes());
        client.setInitialSessionRecvWindow(sessionWindowBytes(settings.pool().maxStreams()));
        client.setMaxRequestHeadersSize(settings.clients().maxHeaderBytes());
        client.setMaxResponseHeadersSize(settings.clients().maxHeaderBytes());
        client.setUseInputDirectByteBuffers(USES_DIRECT_BUFFERS);
        client.setUseOutputDirectByteBuffers(USES_DIRECT_BUFFERS);
        client.setConnectTimeout((long) Math.ceil(settings.dialTimeoutMs()));
        client.setIdleTimeout(UNLIMITED);
        client.setStreamIdleTimeout(UNLIMITED);
    }

    /** Returns the sum of all stream windows, so that unread data of one stream never blocks another (RFC 9113, 5.2). */
    private int sessionWindowBytes(int streams) {
        long allStreams = (long) streams * settings.body().streamWindowBytes();
        return (int) Math.min(Integer.MAX_VALUE, Math.max(MIN_SESSION_WINDOW_BYTES, allStreams));
    }

    Executor threads() {
        return threads;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    HTTP2Client client() {
        return client;
    }

    /** Starts or resumes accepting connections. */
    void startAccepting() throws Exception {
        if (connector.isStarted()) {
            connector.setAccepting(true);
        } else {
            server.addConnector(connector);
            connector.start();
        }
    }

    void stopAccepting() {
        connector.setAccepting(false);
    }

    ServerSocketChannel listeningSocket() {
        return (ServerSocketChannel) connector.getTransport();
    }

    int port() {
        return connector.getLocalPort();
    }

    /** Stops all started components immediately. */
    void stop() throws Exception {
        if (server != null) {
            server.stop();
        }
        client.stop();
        threads.stop();
        scheduler.stop();
    }
}
