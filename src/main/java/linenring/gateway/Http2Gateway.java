package linenring.gateway;

import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import linenring.event.EventQueue;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.planner.PlannerSettings.Measure;
import linenring.routing.AttemptFailure;
import linenring.routing.FailureReason;
import linenring.routing.HostRegistry;
import linenring.routing.OperationPolicy;
import linenring.routing.RetryBudget;
import linenring.routing.RetryContext;
import linenring.routing.RetryDecision;
import linenring.routing.RollingStatistics;
import linenring.routing.Tables;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.WindowRateControl;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.api.server.ServerSessionListener;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.frames.GoAwayFrame;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.PingFrame;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.http2.frames.SettingsFrame;
import org.eclipse.jetty.http2.server.RawHTTP2ServerConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** The HTTP/2 port: clients' sessions on one side, hosts' on the other, and one {@link ProxiedRequest} for each stream. */
public final class Http2Gateway {
    /** How far opening came; the front is null where it failed. */
    public record Opened(Http2Gateway front, Reached reached, String fault) {
        /** The steps of opening. */
        public enum Reached {
            STARTED,
            LISTENING
        }
    }

    private static final int THREADS_MOST = 32; // none of them waits for anything; selectors, helpers, a burst
    private static final long SWEEP_MS = 250;
    private static final long DRAIN_STEP_MS = 20;

    private final GatewaySettings plan;
    private final Log log;
    private final Routes routes;
    private final HostRegistry hosts;
    private final Tables tables;
    private final RollingStatistics sums;
    private final RetryContext terrain;
    private final BufferBudget keptBodies, buffers;
    private final Drain<Session> drain;
    private final Map<Integer, UpstreamConnections> links = new ConcurrentHashMap<>();
    private final Set<ProxiedRequest> running = ConcurrentHashMap.newKeySet();
    private final Map<Session, Object> sessions = new ConcurrentHashMap<>();
    private final AtomicInteger runningCount = new AtomicInteger();
    private final ThreadLocal<SplittableRandom> chance;
    private final long startNanos = System.nanoTime();
    private volatile CountDownLatch drained = new CountDownLatch(1);
    private final AtomicLong[][] counts; // by operation: succeeded, errored, rate-limited, no host, timed out, gone
    private QueuedThreadPool threads;
    private Scheduler scheduler;
    private HTTP2Client client;
    private Server server;
    private ServerConnector connector;
    private Membership membership;

    private Http2Gateway(GatewaySettings plan, Measure measure, HostRegistry hosts, long seed, Log log) {
        this.plan = plan;
        this.hosts = hosts;
        this.log = log;
        routes = new Routes(plan.routes());
        List<String> operations =
                plan.operations().stream().map(OperationPolicy::operation).toList();
        tables = new Tables(
                operations, hosts, measure, plan.avoid().after(), plan.avoid().forMs());
        sums = new RollingStatistics(plan.proxy(), plan.zone(), hosts, operations.size(), now());
        SplittableRandom seeds = new SplittableRandom(seed);
        chance = ThreadLocal.withInitial(() -> {
            synchronized (seeds) {
                return seeds.split();
            }
        });
        terrain = new RetryContext(
                tables,
                hosts,
                new RetryBudget(
                        plan.tries().share(), plan.tries().least(), plan.tries().overMs()),
                plan.tries().objectives(),
                () -> chance.get().nextDouble());
        keptBodies = new BufferBudget(plan.body().keptInAll());
        buffers = new BufferBudget(plan.body().inAll());
        drain = new Drain<>(plan.drainMs());
        counts = new AtomicLong[operations.size()][6];
        for (AtomicLong[] row : counts) {
            for (int i = 0; i < row.length; i++) {
                row[i] = new AtomicLong();
            }
        }
    }

    /** Listens and joins the steward; {@code hosts} follows the list from its beginning. */
    public static Opened open(GatewaySettings plan, Measure measure, HostRegistry hosts, EventQueue exchange, Log log) {
        return open(plan, measure, hosts, exchange, null, true, log);
    }

    /** The same at a listener that is there already, or null; accepts from the start or once it is told to. */
    public static Opened open(
            GatewaySettings plan,
            Measure measure,
            HostRegistry hosts,
            EventQueue exchange,
            ServerSocketChannel listener,
            boolean accepts,
            Log log) {
        return open(plan, measure, hosts, exchange, listener, accepts, log, HTTP2Client::new);
    }

    /** The same with a client of the caller's making towards the hosts, so that a test can order what Jetty does. */
    static Opened open(
            GatewaySettings plan,
            Measure measure,
            HostRegistry hosts,
            EventQueue exchange,
            ServerSocketChannel listener,
            boolean accepts,
            Log log,
            Supplier<HTTP2Client> clientFactory) {
        Http2Gateway front = new Http2Gateway(plan, measure, hosts, System.nanoTime(), log);
        Opened.Reached reached = Opened.Reached.STARTED;
        try {
            front.start(exchange, listener, accepts, clientFactory);
            reached = Opened.Reached.LISTENING;
            front.membership.join();
            front.membership.report();
            front.sweep();
            log.info("front", (accepts ? "takes invocations at " : "is ready to take invocations at ") + front.at());
            return new Opened(front, reached, null);
        } catch (Exception e) { // start() may throw any
            front.close();
            return new Opened(null, reached, String.valueOf(e.getMessage() == null ? e : e.getMessage()));
        }
    }

    private void start(
            EventQueue exchange, ServerSocketChannel listener, boolean accepts, Supplier<HTTP2Client> clientFactory)
            throws Exception {
        threads = new QueuedThreadPool(THREADS_MOST, 4);
        threads.setName("front");
        threads.setDaemon(true);
        scheduler = new ScheduledExecutorScheduler("front-timer", true);
        scheduler.start();
        server = new Server(threads, scheduler, null);
        GatewaySettings.Clients clients = plan.clients();
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(clients.headers());
        RawHTTP2ServerConnectionFactory http2 = new RawHTTP2ServerConnectionFactory(http, new Clients());
        http2.setMaxConcurrentStreams(clients.streams());
        http2.setInitialStreamRecvWindow(plan.body().window());
        http2.setInitialSessionRecvWindow(session(clients.streams()));
        http2.setStreamIdleTimeout(-1); // the tries bound an invocation, stalls and sessions have bounds of their own
        http2.setRateControlFactory(new WindowRateControl.Factory(clients.framesPerSecond()));
        http2.setMaxHeaderBlockFragment(clients.headers());
        server.addBean(http2); // has the life of the server, as it is no connector's own
        ConnectionAcceptor door = new ConnectionAcceptor(http2, clients.connections(), log);
        connector = new ServerConnector(server, 0, 1, door); // no thread waits in accept: it can be stopped
        connector.setHost(plan.listen().getAddress().getHostAddress());
        connector.setPort(plan.listen().getPort());
        connector.setIdleTimeout((long) clients.idleMs());
        connector.setReuseAddress(true);
        connector.setAcceptQueueSize(512);
        if (listener != null) {
            connector.open(listener);
        }
        if (accepts) {
            server.addConnector(connector);
        } // else it is started by the first accept()
        connector.addBean(door); // it is told of each connection's beginning and end

        client = clientFactory.get();
        ClientConnector out = client.getClientConnector();
        out.setExecutor(threads);
        out.setScheduler(scheduler);
        out.setSelectors(1);
        client.setInitialStreamRecvWindow(plan.body().window());
        client.setInitialSessionRecvWindow(session(plan.pool().maxStreams()));
        client.setConnectTimeout((long) Math.ceil(plan.dialMs()));
        client.setIdleTimeout(-1);
        client.setStreamIdleTimeout(-1);
        threads.start();
        client.start();
        exchange.addHostListListener(list -> tablesChanged()); // the book has it by then
        membership =
                new Membership(plan, exchange, tables, sums, this::now, threads, scheduler, this::tablesChanged, log);
        server.start();
    }

    /** No stream's unread data keeps another's out: as much as all of them may hold. */
    private int session(int streams) {
        return (int) Math.min(
                Integer.MAX_VALUE, Math.max(65_535, (long) streams * plan.body().window()));
    }

    // ---- what invocations ask

    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    Scheduler.Task schedule(Runnable what, double inMs) {
        return scheduler.schedule(what, (long) Math.ceil(inMs), TimeUnit.MILLISECONDS);
    }

    UpstreamConnections link(int host) {
        return links.computeIfAbsent(
                host,
                h -> new UpstreamConnections(client, hosts.host(h), plan.pool(), plan.dialMs(), scheduler, this::now));
    }

    void ended(int host, boolean well, double ms) {
        sums.recordAttempt(host, well, ms);
    }

    void count(int operation, FailureReason reason) {
        counts[operation][
                switch (reason) {
                    case RATE_LIMITED -> 2;
                    case NO_HOST -> 3;
                    case ERRORED -> 1;
                    case TIMED_OUT -> 4;
                }]
                .incrementAndGet();
        if (reason == FailureReason.NO_HOST) {
            log.warn("front", "no host can be picked for " + tables.operations().get(operation) + ": 503");
        }
    }

    void answered(int operation, boolean errored) {
        counts[operation][errored ? 1 : 0].incrementAndGet();
    }

    void clientGone(int operation) {
        counts[operation][5].incrementAndGet();
    }

    void stalled(int operation, Stream client) {
        log.warn(
                "client",
                client.getSession().getRemoteSocketAddress() + " takes nothing of an answer to "
                        + tables.operations().get(operation) + " for "
                        + (long) plan.clients().stallMs() + " ms: stream "
                        + client.getId() + " reset");
    }

    void brokeOff(int operation, int host, AttemptFailure how) {
        counts[operation][1].incrementAndGet();
        log.warn(
                "front",
                "host " + hosts.host(host).id() + " broke off in its answer to "
                        + tables.operations().get(operation) + ": "
                        + how.cause().name().toLowerCase(java.util.Locale.ROOT));
    }

    void fault(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        log.error("fault", e + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    void ended(ProxiedRequest invocation, Stream stream, long reserved) {
        if (running.remove(invocation)) {
            runningCount.decrementAndGet();
            buffers.giveBack(reserved);
            drain.done(stream.getSession());
        }
    }

    // ---- clients

    private final class Clients implements ServerSessionListener {
        @Override
        public void onAccept(Session session) {
            sessions.put(session, this);
            drain.opened(session);
        }

        /** A client that came during a drain is told so behind our own SETTINGS, which go first (RFC 9113, 3.4). */
        @Override
        public void onSettings(Session session, SettingsFrame frame) {
            if (drain.isLate(session)) {
                session.close(ErrorCode.NO_ERROR.code, "drains", Callback.NOOP);
            }
        }

        @Override
        public Stream.Listener onNewStream(Stream stream, HeadersFrame frame) {
            if (!drain.accepts(stream.getSession(), stream.getId())) {
                stream.reset(new ResetFrame(stream.getId(), ErrorCode.REFUSED_STREAM_ERROR.code), Callback.NOOP);
                return null;
            }
            stream.setIdleTimeout(-1);
            return begin(stream, frame);
        }

        @Override
        public void onClose(Session session, GoAwayFrame frame, Callback callback) {
            closed(session);
            callback.succeeded();
        }

        @Override
        public void onFailure(Session session, Throwable failure, Callback callback) {
            if (failure.getMessage() != null) { // else it has only closed its connection
                log.info("client", session.getRemoteSocketAddress() + " failed: " + failure.getMessage());
            }
            closed(session);
            callback.succeeded();
        }

        @Override
        public void onPing(Session session, PingFrame frame) {
            if (frame.isReply()) { // only a drain sends any
                drain.heard(session);
            }
        }

        @Override
        public boolean onIdleTimeout(Session session) {
            return drain.isIdle(session); // while something runs, its own bounds count
        }

        private void closed(Session session) {
            sessions.remove(session);
            drain.closed(session);
        }
    }

    private Stream.Listener begin(Stream stream, HeadersFrame frame) {
        MetaData.Request head = (MetaData.Request) frame.getMetaData();
        int operation = routes.operation(head.getMethod(), head.getHttpURI().getPath());
        if (operation == Routes.NONE) {
            return refuse(stream, frame, 404);
        }
        long reserve = (frame.isEndStream() ? 1L : 2L) * plan.body().window();
        if (runningCount.incrementAndGet() > plan.clients().running() || !buffers.take(reserve)) {
            runningCount.decrementAndGet();
            log.warn("front", "no room for one more invocation beside " + runningCount.get() + ": 503");
            return refuse(stream, frame, 503);
        }
        sums.recordRequest(operation);
        boolean marked = plan.markHeader() != null && head.getHttpFields().contains(plan.markHeader());
        RetryDecision tries =
                new RetryDecision(terrain, operation, plan.operations().get(operation), marked, now());
        ProxiedRequest invocation = new ProxiedRequest(
                this,
                stream,
                frame,
                operation,
                tries,
                new RetainedBody(plan.body().kept(), keptBodies),
                reserve);
        running.add(invocation);
        invocation.begin();
        return invocation;
    }

    /** Answers at once, and reads no body. */
    private Stream.Listener refuse(Stream stream, HeadersFrame request, int status) {
        stream.headers(
                new HeadersFrame(
                        stream.getId(),
                        new MetaData.Response(
                                status, null, org.eclipse.jetty.http.HttpVersion.HTTP_2, Responses.empty()),
                        null,
                        true),
                Callback.from(
                        () -> {
                            if (!request.isEndStream()) {
                                stream.reset(new ResetFrame(stream.getId(), ErrorCode.NO_ERROR.code), Callback.NOOP);
                            }
                        },
                        x -> {}));
        drain.done(stream.getSession());
        return null;
    }

    // ---- tables, hosts, time

    private void tablesChanged() {
        links.entrySet()
                .removeIf(
                        e -> { // a host that came back elsewhere is dialled there
                            boolean moved = !java.util.Objects.equals(
                                    e.getValue().address(),
                                    hosts.host(e.getKey()).address());
                            e.getValue()
                                    .retire(moved
                                            || !hosts.host(e.getKey()).isListed()
                                            || !tables.isEligibleAnywhere(e.getKey()));
                            return moved;
                        });
    }

    private void sweep() {
        try {
            long now = System.nanoTime(), longest = (long) (plan.clients().stallMs() * 1e6);
            running.forEach(i -> i.endIfStalled(now, longest));
            links.values().forEach(UpstreamConnections::sweep);
        } finally {
            scheduler.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    // ---- drain

    /**
     * Lets what runs finish and takes nothing new; does nothing where that has begun. Connections are accepted as before, and
     * told at once that nothing of theirs was processed: in the listener's queue they would hear nothing until the process ends.
     */
    public void drain() {
        if (!drain.begin(now())) {
            return;
        }
        log.info("front", "drains: " + drain.running() + " invocations run, " + sessions.size() + " clients");
        sessions.keySet().forEach(s -> {
            drain.asked(s); // by frames(): after its own goAway() Jetty closes a session at once in which nothing runs
            ((HTTP2Session) s).frames(null, List.of(GoAwayFrame.GRACEFUL), Callback.NOOP);
            s.ping(new PingFrame(false), Callback.NOOP);
        });
        drainStep();
    }

    private void drainStep() {
        Drain.Stage stage = drain.step(now());
        if (stage == Drain.Stage.SERVING) {
            return; // called off
        }
        if (stage.compareTo(Drain.Stage.LAST_NAMED) >= 0) {
            for (Session s : sessions.keySet()) {
                int last = drain.nameLast(s);
                if (last != Drain.NAMED) {
                    ((HTTP2Session) s).goAway(new GoAwayFrame(last, ErrorCode.NO_ERROR.code, null), Callback.NOOP);
                }
            }
        }
        if (stage == Drain.Stage.OVER) {
            int left = drain.running();
            log.info(
                    "front",
                    "has drained: " + drain.finished() + " finished, " + drain.refused() + " refused, " + left
                            + " broken off" + (left > 0 ? " after " + (long) plan.drainMs() + " ms" : ""));
            drained.countDown();
        } else {
            scheduler.schedule(this::drainStep, DRAIN_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits until a drain is over, and leaves the steward. */
    public void awaitDrained() throws InterruptedException {
        drained.await();
        membership.leave();
    }

    /** Accepts nobody new; the listener stays open, so that another process may accept at it. */
    public void stopAccepting() {
        connector.setAccepting(false);
    }

    /** Accepts, again or for the first time; a drain that has begun is called off for all who come from now on. */
    public void accept() {
        drain.resume();
        drained = new CountDownLatch(1);
        try {
            if (connector.isStarted()) {
                connector.setAccepting(true);
            } else {
                server.addConnector(connector);
                connector.start();
            }
            log.info("front", "takes invocations at " + at());
        } catch (Exception e) { // start() may throw any
            log.error("front", "cannot accept: " + e);
        }
    }

    /** Whether it has a table to pick from. */
    public boolean hasTables() {
        return !tables.isEmpty();
    }

    /** What it listens with. */
    public ServerSocketChannel listener() {
        return (ServerSocketChannel) connector.getTransport();
    }

    /** Ends at once. */
    public void close() {
        try {
            if (server != null) {
                server.stop();
            }
            if (client != null) {
                client.stop();
            }
            if (threads != null) {
                threads.stop();
            }
            scheduler.stop();
        } catch (Exception e) { // stop() may throw any
            log.warn("front", "does not stop cleanly: " + e.getMessage());
        }
    }

    /** IP:PORT where it listens. */
    public String at() {
        return plan.listen().getAddress().getHostAddress() + ":" + connector.getLocalPort();
    }

    public int port() {
        return connector.getLocalPort();
    }

    /** Invocations that run now. */
    public int runningNow() {
        return runningCount.get();
    }

    /** By operation: how many succeeded, errored, were rate-limited, found no host, timed out, lost their client. */
    public String totals() {
        StringBuilder words = new StringBuilder();
        for (int k = 0; k < counts.length; k++) {
            words.append(k > 0 ? "; " : "").append(tables.operations().get(k));
            String[] of = {"succeeded", "errored", "rate-limited", "without a host", "timed out", "client gone"};
            for (int i = 0; i < of.length; i++) {
                words.append(' ').append(counts[k][i]).append(' ').append(of[i]);
            }
        }
        return words.toString();
    }
}
