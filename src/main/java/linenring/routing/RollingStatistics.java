package linenring.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linenring.protocol.InboundMessage;

/** What a proxy met at each host and was asked of each operation, summed up from one report to the next. */
public final class RollingStatistics {
    private static final class Met {
        int total, bad;
        double goodMs;
    }

    private final int proxy, zone;
    private final HostRegistry hosts;
    private final TreeMap<Integer, Met> met = new TreeMap<>(); // by host
    private final int[] asked; // by operation
    private double since;

    public RollingStatistics(int proxy, int zone, HostRegistry hosts, int operations, double now) {
        this.proxy = proxy;
        this.zone = zone;
        this.hosts = hosts;
        asked = new int[operations];
        since = now;
    }

    public synchronized void asked(int operation) {
        asked[operation]++;
    }

    /** A try at a host ended after so many ms. */
    public synchronized void ended(int host, boolean well, double ms) {
        Met m = met.computeIfAbsent(host, h -> new Met());
        m.total++;
        m.bad += well ? 0 : 1;
        m.goodMs += well ? ms : 0;
    }

    /** All since the last report, as a collector and a proxy would say it. */
    public synchronized List<InboundMessage> report(double now) {
        double span = now - since;
        List<InboundMessage> said = new ArrayList<>();
        if (!(span > 0)) {
            return said;
        }
        met.forEach((host, m) -> said.add(new InboundMessage.LoadReport(
                hosts.host(host).id(),
                zone,
                m.total,
                m.bad,
                m.total == m.bad ? 0 : m.goodMs / (m.total - m.bad),
                span)));
        for (int k = 0; k < asked.length; k++) {
            said.add(new InboundMessage.RequestRateReport(proxy, k, asked[k], span));
            asked[k] = 0;
        }
        met.clear();
        since = now;
        return said;
    }
}
