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
import linenring.routing.InvalidUpdateException;

/**
 * Simulates the proxies and collectors of one controller, without I/O: they subscribe, apply updates when the channel delivers
 * them, acknowledge, and send reports. Callers pass the time in milliseconds of any monotonic clock. Only the methods that read
 * results may be called on other threads than the fleet's.
 */
public final class SimulatedFleet {
    private static final double MIN_RECONNECT_MS = 200;
    private static final double MAX_RECONNECT_MS = 500;
    /** Latency in all load reports, within the latency objective of each operation. */
    private static final double MEAN_LATENCY_MS = 80;

    private static final double REPORT_INTERVAL_MS = 1000;
    private static final double SECOND_MS = 1000;
    private static final int MAX_RECORDED_FAULTS = 20;
    /** Longest time for which reports are sent later; reports of a longer pause of this process are dropped. */
    private static final double MAX_REPORT_DELAY_MS = 250;

    /** A scheduled action; {@code sequence} orders actions that have the same time. */
    private record ScheduledAction(double timeMs, long sequence, Runnable action) {}

    private final FleetLayout layout;
    private final HostRegistry hosts;
    private final RandomGenerator random;
    private final SimulatedChannel channel;
    private final List<SimulatedProxy> proxies;
    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledAction::timeMs).thenComparingLong(ScheduledAction::sequence));
    private final List<String> faults = new ArrayList<>();
    private Uplink uplink;
    private long nextSequence;
    private double reportedUntilMs = Double.NaN;
    private double pendingReports;
    private long reportCount;
    private final AtomicLong updatesApplied = new AtomicLong();
    private final AtomicLong timesWithoutHost = new AtomicLong();
    private volatile boolean stopped;

    /** Creates a fleet; its proxies subscribe when it is started. */
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

    /** Subscribes all proxies. */
    void start(Uplink toController) {
        uplink = toController;
        proxies.forEach(this::subscribe);
    }

    private void subscribe(SimulatedProxy proxy) {
        if (stopped || proxy.isJoined()) {
            return;
        }
        boolean isNew = proxy.isNew();
        int stream = proxy.openStream();
        uplink.join(stream, new InboundMessage.Subscribe(proxy.id(), proxy.zone(), layout.requestsPerSecond(), isNew));
    }

    /** Prevents all further subscriptions. */
    void stop() {
        stopped = true;
    }

    /** Disconnects all proxies, which subscribe again after a short random delay and keep their tables. */
    void rejoinAll(double nowMs) {
        for (SimulatedProxy proxy : proxies) {
            if (proxy.isJoined()) {
                uplink.leave(proxy.id());
                proxy.closeStream();
            }
            schedule(nowMs + random.nextDouble() * MIN_RECONNECT_MS, () -> subscribe(proxy));
        }
    }

    /** Handles the end of a proxy's stream; the proxy reconnects after a random delay. */
    void streamLost(int id, int stream, double nowMs) {
        SimulatedProxy proxy = proxies.get(id);
        if (proxy.stream() != stream) {
            return; // the proxy has a newer stream
        }
        proxy.closeStream();
        double waitMs = MIN_RECONNECT_MS + random.nextDouble() * (MAX_RECONNECT_MS - MIN_RECONNECT_MS);
        schedule(nowMs + waitMs, () -> subscribe(proxy));
    }

    /** Receives a complete update on a stream; the proxy applies it when the simulated channel has delivered it. */
    void receive(int id, int stream, ConfigurationUpdate update, double sentMs) {
        double deliveredMs = channel.deliveryTimeMs(sentMs, update.entryCount());
        schedule(deliveredMs, () -> apply(proxies.get(id), stream, update, sentMs, deliveredMs));
    }

    private void apply(
            SimulatedProxy proxy, int stream, ConfigurationUpdate update, double sentMs, double deliveredMs) {
        if (proxy.stream() != stream) {
            return; // the update is lost with its stream
        }
        List<Integer> nonces;
        try {
            nonces = proxy.apply(update);
        } catch (InvalidUpdateException unusable) {
            addFault("proxy " + proxy.id() + " cannot apply an update: " + unusable.getMessage());
            uplink.leave(proxy.id());
            streamLost(proxy.id(), stream, deliveredMs);
            return;
        }
        updatesApplied.incrementAndGet();
        boolean hadHosts = proxy.hadHosts();
        if (!proxy.hasHosts() && hadHosts) {
            timesWithoutHost.incrementAndGet();
            addFault("proxy " + proxy.id() + " has lost its last host");
        }
        for (int nonce : nonces) {
            uplink.send(proxy.id(), new InboundMessage.Acknowledgement(proxy.id(), nonce, deliveredMs - sentMs));
        }
    }

    private void schedule(double timeMs, Runnable action) {
        scheduledActions.add(new ScheduledAction(timeMs, nextSequence++, action));
    }

    // ---- actions and reports over time

    /** Runs all actions that are due, and sends the reports that are due. */
    void advance(double nowMs) {
        while (!scheduledActions.isEmpty() && scheduledActions.peek().timeMs() <= nowMs) {
            scheduledActions.poll().action().run();
        }
        double elapsedMs = Double.isNaN(reportedUntilMs) ? 0 : Math.min(MAX_REPORT_DELAY_MS, nowMs - reportedUntilMs);
        reportedUntilMs = nowMs;
        pendingReports += elapsedMs / SECOND_MS * layout.reportsPerSecond();
        for (; pendingReports >= 1 && !proxies.isEmpty(); pendingReports--) {
            sendNextReport();
        }
    }

    /** Sends the next report, by proxies and collectors in turn; each report covers its share of all requests. */
    private void sendNextReport() {
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

    // ---- results, read by any thread

    /** Returns the proxies in the order of their ids. */
    public List<SimulatedProxy> proxies() {
        return proxies;
    }

    /** Returns the number of updates that proxies have applied. */
    public long updatesApplied() {
        return updatesApplied.get();
    }

    /** Returns how often an update removed the last host of a proxy. */
    public long timesWithoutHost() {
        return timesWithoutHost.get();
    }

    void addFault(String message) {
        synchronized (faults) {
            if (faults.size() < MAX_RECORDED_FAULTS) {
                faults.add(message);
            }
        }
    }

    /** Returns descriptions of the first faults. */
    public List<String> faults() {
        synchronized (faults) {
            return List.copyOf(faults);
        }
    }

    /** Returns the registry of the hosts that the fleet's tables refer to. */
    public HostRegistry hosts() {
        return hosts;
    }
}
