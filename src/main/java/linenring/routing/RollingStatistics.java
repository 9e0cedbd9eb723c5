package linenring.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linenring.protocol.InboundMessage;

/** A proxy's attempts by host and requests by operation, added up from one report to the next. */
public final class RollingStatistics {
    private static final class HostTotals {
        private int attempts;
        private int failures;
        private double successMs; // latency of all successes together

        void add(boolean success, double latencyMs) {
            attempts++;
            failures += success ? 0 : 1;
            successMs += success ? latencyMs : 0;
        }

        double meanSuccessMs() {
            return attempts == failures ? 0 : successMs / (attempts - failures);
        }
    }

    private final int proxy;
    private final int zone;
    private final HostRegistry hosts;
    // All below are guarded by this.
    private final TreeMap<Integer, HostTotals> totalsByHost = new TreeMap<>();
    private final int[] requestsByOperation;
    private double sinceMs;

    /** Of the proxy with this number in this zone (an index), from now on. */
    public RollingStatistics(int proxy, int zone, HostRegistry hosts, int operations, double nowMs) {
        this.proxy = proxy;
        this.zone = zone;
        this.hosts = hosts;
        requestsByOperation = new int[operations];
        sinceMs = nowMs;
    }

    /** Records that a client asked for an operation. */
    public synchronized void recordRequest(int operation) {
        requestsByOperation[operation]++;
    }

    /** Records that an attempt at a host ended after {@code latencyMs}. */
    public synchronized void recordAttempt(int host, boolean success, double latencyMs) {
        totalsByHost.computeIfAbsent(host, index -> new HostTotals()).add(success, latencyMs);
    }

    /** The load reports and request rates since the last call, as a collector and a proxy would send them. */
    public synchronized List<InboundMessage> drainReport(double nowMs) {
        double spanMs = nowMs - sinceMs;
        List<InboundMessage> report = new ArrayList<>();
        if (!(spanMs > 0)) {
            return report;
        }
        totalsByHost.forEach((host, totals) -> report.add(new InboundMessage.LoadReport(
                hosts.host(host).id(), zone, totals.attempts, totals.failures, totals.meanSuccessMs(), spanMs)));
        for (int operation = 0; operation < requestsByOperation.length; operation++) {
            report.add(new InboundMessage.RequestRateReport(proxy, operation, requestsByOperation[operation], spanMs));
            requestsByOperation[operation] = 0;
        }
        totalsByHost.clear();
        sinceMs = nowMs;
        return report;
    }
}
