package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;
import linenring.routing.HostRegistry;
import linenring.routing.UnusableUpdateException;

/**
 * The proxies and collectors of one steward, without I/O: they join, apply orders as the channel delivers them, acknowledge
 * marks and report. Time (ms, of no fixed start) is handed in. All but the reading methods are called on one thread.
 */
public final class SimulatedFleet {
    private static final double REDIAL_LEAST_MS = 200, REDIAL_MOST_MS = 500;
    private static final double MEAN_MS = 80; // of a try: within the objective of each operation
    private static final double SPAN_MS = 1000; // that a report covers
    private static final int FAULTS_KEPT = 20;
    private static final double BURST_MS = 250; // reports of a longer pause are dropped

    /** Something that happens at a time. */
    private record Due(double at, long order, Runnable what) {}

    private final FleetLayout layout;
    private final HostRegistry hosts;
    private final RandomGenerator chance;
    private final SimulatedChannel channel;
    private final List<SimulatedProxy> proxies;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final List<String> faults = new ArrayList<>();
    private Uplink uplink;
    private long dueOrder;
    private double reportedTo = Double.NaN;
    private double reportsOwed;
    private long reports;
    private volatile long ordersApplied;
    private volatile long timesWithoutHost;
    private volatile boolean stopped;

    public SimulatedFleet(FleetLayout layout, HostRegistry hosts, RandomGenerator chance) {
        this.layout = layout;
        this.hosts = hosts;
        this.chance = chance;
        channel = new SimulatedChannel(layout.channel());
        proxies = IntStream.range(0, layout.proxies())
                .mapToObj(id -> new SimulatedProxy(id, layout.zoneOf(id), layout.operations(), hosts))
                .toList();
    }

    FleetLayout layout() {
        return layout;
    }

    /** All proxies join. */
    void start(Uplink by, double now) {
        uplink = by;
        proxies.forEach(p -> join(p, now));
    }

    private void join(SimulatedProxy proxy, double now) {
        if (stopped || proxy.isJoined()) {
            return;
        }
        boolean fresh = proxy.isFresh();
        int stream = proxy.joins();
        uplink.join(stream, new InboundMessage.Subscribe(proxy.id(), proxy.zone(), layout.requestsPerSecond(), fresh));
    }

    /** Nobody joins any more. */
    void stop() {
        stopped = true;
    }

    /** All proxies leave, and join again at once with the tables they have. */
    void rejoinAll(double now) {
        for (SimulatedProxy proxy : proxies) {
            if (proxy.isJoined()) {
                uplink.leave(proxy.id());
                proxy.leaves();
            }
            at(now + chance.nextDouble() * REDIAL_LEAST_MS, () -> join(proxy, now));
        }
    }

    /** The stream of a proxy has ended; it dials again after a while. */
    void lost(int id, int stream, double now) {
        SimulatedProxy proxy = proxies.get(id);
        if (proxy.stream() != stream) {
            return; // it has a newer one
        }
        proxy.leaves();
        double wait = REDIAL_LEAST_MS + chance.nextDouble() * (REDIAL_MOST_MS - REDIAL_LEAST_MS);
        at(now + wait, () -> join(proxy, now));
    }

    /** An order has come whole on a stream; it takes effect when the channel has delivered it. */
    void ordered(int id, int stream, ConfigurationUpdate order, double now) {
        double at = channel.deliveredAt(now, order.entryCount());
        at(at, () -> apply(proxies.get(id), stream, order, now, at));
    }

    private void apply(SimulatedProxy proxy, int stream, ConfigurationUpdate order, double sentAt, double now) {
        if (proxy.stream() != stream) {
            return; // lost with its stream
        }
        List<Integer> nonces;
        try {
            nonces = proxy.apply(order);
        } catch (UnusableUpdateException e) {
            fault("proxy " + proxy.id() + " can't use an order: " + e.getMessage());
            uplink.leave(proxy.id());
            lost(proxy.id(), stream, now);
            return;
        }
        ordersApplied++;
        boolean served = proxy.wasServed();
        if (!proxy.hasHosts() && served) {
            timesWithoutHost++;
            fault("proxy " + proxy.id() + " has no host");
        }
        for (int mark : nonces) {
            uplink.say(proxy.id(), new InboundMessage.Acknowledgement(proxy.id(), mark, now - sentAt));
        }
    }

    private void at(double when, Runnable what) {
        due.add(new Due(when, dueOrder++, what));
    }

    // ---- time

    /** Lets all happen that is due, reports included. */
    void advance(double now) {
        while (!due.isEmpty() && due.peek().at() <= now) {
            due.poll().what().run();
        }
        double since = Double.isNaN(reportedTo) ? 0 : Math.min(BURST_MS, now - reportedTo);
        reportedTo = now;
        reportsOwed += since / 1000 * layout.reportsPerSecond();
        for (; reportsOwed >= 1 && !proxies.isEmpty(); reportsOwed--) {
            report();
        }
    }

    /** The next report: proxies' and collectors' in turn, each as large as its share of all requests. */
    private void report() {
        long number = reports++;
        SimulatedProxy proxy = proxies.get((int) (number / 2 % proxies.size()));
        if (!proxy.isJoined()) {
            return;
        }
        int operations = layout.operations().size();
        if (number % 2 == 0) {
            int operation = (int) (number / 2 / proxies.size() % operations);
            int count = (int) Math.round(layout.requestsPerSecond() / operations * SPAN_MS / 1000);
            uplink.say(proxy.id(), new InboundMessage.RequestRateReport(proxy.id(), operation, count, SPAN_MS));
            return;
        }
        String host = proxy.pick(chance.nextInt(operations), chance.nextDouble());
        if (host != null) {
            int count = (int) Math.max(
                    1, proxies.size() * layout.requestsPerSecond() / Math.max(1, layout.reportsPerSecond() / 2));
            uplink.report(new InboundMessage.LoadReport(host, proxy.zone(), count, 0, MEAN_MS, SPAN_MS));
        }
    }

    // ---- what is read from other threads

    public List<SimulatedProxy> proxies() {
        return proxies;
    }

    public long ordersApplied() {
        return ordersApplied;
    }

    /** How often an order left a proxy without a host that had one. */
    public long timesWithoutHost() {
        return timesWithoutHost;
    }

    void fault(String words) {
        synchronized (faults) {
            if (faults.size() < FAULTS_KEPT) {
                faults.add(words);
            }
        }
    }

    /** What went wrong, the first few, in words. */
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
