package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;
import linenring.routing.HostRegistry;
import linenring.routing.UnusableUpdateException;

/**
 * The proxies and collectors of one controller, without I/O: they join, apply updates as the channel delivers them,
 * acknowledge and report. Time (ms, from any start) is handed in. All but the reading methods are called on one thread.
 */
public final class SimulatedFleet {
    private static final double MIN_RECONNECT_MS = 200;
    private static final double MAX_RECONNECT_MS = 500;
    /** Within the latency objective of each operation. */
    private static final double MEAN_LATENCY_MS = 80;

    private static final double REPORT_INTERVAL_MS = 1000;
    private static final double SECOND_MS = 1000;
    private static final int MAX_KEPT_FAULTS = 20;
    /** Reports of a longer pause of this process are dropped. */
    private static final double MAX_CATCH_UP_MS = 250;

    /** An action and its time; {@code sequence} orders actions of one time. */
    private record Due(double timeMs, long sequence, Runnable action) {}

    private final FleetLayout layout;
    private final HostRegistry hosts;
    private final RandomGenerator random;
    private final SimulatedChannel channel;
    private final List<SimulatedProxy> proxies;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::timeMs).thenComparingLong(Due::sequence));
    private final List<String> faults = new ArrayList<>();
    private Uplink uplink;
    private long nextSequence;
    private double reportedUntilMs = Double.NaN;
    private double dueReports;
    private long reportCount;
    private final AtomicLong updatesApplied = new AtomicLong();
    private final AtomicLong timesWithoutHost = new AtomicLong();
    private volatile boolean stopped;

    /** A fleet whose proxies join once it is started. */
    public SimulatedFleet(FleetLayout layout, HostRegistry hosts, RandomGenerator random) {
        this.layout = layout;
        this.hosts = hosts;
        this.random = random;
        channel = new SimulatedChannel(layout.channel());
        proxies = IntStream.range(0, layout.proxies())
                .mapToObj(id -> new SimulatedProxy(id, layout.zoneOf(id), layout.operations(), hosts))
                .toList();
    }

    FleetLayout layout() {
        return layout;
    }

    /** All proxies join. */
    void start(Uplink toController) {
        uplink = toController;
        proxies.forEach(this::join);
    }

    private void join(SimulatedProxy proxy) {
        if (stopped || proxy.isJoined()) {
            return;
        }
        boolean isNew = proxy.isNew();
        int stream = proxy.openStream();
        uplink.join(stream, new InboundMessage.Subscribe(proxy.id(), proxy.zone(), layout.requestsPerSecond(), isNew));
    }

    /** From now on no proxy joins. */
    void stop() {
        stopped = true;
    }

    /** All proxies leave, and join again at once with the tables they have. */
    void rejoinAll(double nowMs) {
        for (SimulatedProxy proxy : proxies) {
            if (proxy.isJoined()) {
                uplink.leave(proxy.id());
                proxy.closeStream();
            }
            schedule(nowMs + random.nextDouble() * MIN_RECONNECT_MS, () -> join(proxy));
        }
    }

    /** The stream of a proxy has ended; it connects again after a while. */
    void streamLost(int id, int stream, double nowMs) {
        SimulatedProxy proxy = proxies.get(id);
        if (proxy.stream() != stream) {
            return; // it has a newer one
        }
        proxy.closeStream();
        double waitMs = MIN_RECONNECT_MS + random.nextDouble() * (MAX_RECONNECT_MS - MIN_RECONNECT_MS);
        schedule(nowMs + waitMs, () -> join(proxy));
    }

    /** A complete update has arrived on a stream; it takes effect when the channel has delivered it. */
    void receive(int id, int stream, ConfigurationUpdate update, double sentMs) {
        double deliveredMs = channel.deliveryTimeMs(sentMs, update.entryCount());
        schedule(deliveredMs, () -> apply(proxies.get(id), stream, update, sentMs, deliveredMs));
    }

    private void apply(
            SimulatedProxy proxy, int stream, ConfigurationUpdate update, double sentMs, double deliveredMs) {
        if (proxy.stream() != stream) {
            return; // lost with its stream
        }
        List<Integer> nonces;
        try {
            nonces = proxy.apply(update);
        } catch (UnusableUpdateException unusable) {
            fault("proxy " + proxy.id() + " can't use an update: " + unusable.getMessage());
            uplink.leave(proxy.id());
            streamLost(proxy.id(), stream, deliveredMs);
            return;
        }
        updatesApplied.incrementAndGet();
        boolean hadHosts = proxy.hadHosts();
        if (!proxy.hasHosts() && hadHosts) {
            timesWithoutHost.incrementAndGet();
            fault("proxy " + proxy.id() + " has no host");
        }
        for (int nonce : nonces) {
            uplink.send(proxy.id(), new InboundMessage.Acknowledgement(proxy.id(), nonce, deliveredMs - sentMs));
        }
    }

    private void schedule(double timeMs, Runnable action) {
        due.add(new Due(timeMs, nextSequence++, action));
    }

    // ---- time

    /** Does all that is due, reports included. */
    void advance(double nowMs) {
        while (!due.isEmpty() && due.peek().timeMs() <= nowMs) {
            due.poll().action().run();
        }
        double elapsedMs = Double.isNaN(reportedUntilMs) ? 0 : Math.min(MAX_CATCH_UP_MS, nowMs - reportedUntilMs);
        reportedUntilMs = nowMs;
        dueReports += elapsedMs / SECOND_MS * layout.reportsPerSecond();
        for (; dueReports >= 1 && !proxies.isEmpty(); dueReports--) {
            report();
        }
    }

    /** The next report: proxies' and collectors' in turn, each as large as its share of all requests. */
    private void report() {
        long number = reportCount++;
        SimulatedProxy proxy = proxies.get((int) (number / 2 % proxies.size()));
        if (!proxy.isJoined()) {
            return;
        }
        int operations = layout.operations().size();
        if (number % 2 == 0) {
            int operation = (int) (number / 2 / proxies.size() % operations);
            int count = (int) Math.round(layout.requestsPerSecond() / operations * REPORT_INTERVAL_MS / SECOND_MS);
            uplink.send(
                    proxy.id(), new InboundMessage.RequestRateReport(proxy.id(), operation, count, REPORT_INTERVAL_MS));
            return;
        }
        String host = proxy.pick(random.nextInt(operations), random.nextDouble());
        if (host != null) {
            int count = (int) Math.max(
                    1, proxies.size() * layout.requestsPerSecond() / Math.max(1, layout.reportsPerSecond() / 2));
            uplink.report(
                    new InboundMessage.LoadReport(host, proxy.zone(), count, 0, MEAN_LATENCY_MS, REPORT_INTERVAL_MS));
        }
    }

    // ---- what is read from other threads

    /** Its proxies, by id. */
    public List<SimulatedProxy> proxies() {
        return proxies;
    }

    /** How many updates proxies have applied. */
    public long updatesApplied() {
        return updatesApplied.get();
    }

    /** How often an update left a proxy without a host that had one before. */
    public long timesWithoutHost() {
        return timesWithoutHost.get();
    }

    void fault(String message) {
        synchronized (faults) {
            if (faults.size() < MAX_KEPT_FAULTS) {
                faults.add(message);
            }
        }
    }

    /** What went wrong, the first few, as text. */
    public List<String> faults() {
        synchronized (faults) {
            return List.copyOf(faults);
        }
    }

    /** The hosts as the fleet knows them. */
    public HostRegistry hosts() {
        return hosts;
    }
}
