package linenring.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linenring.protocol.InboundMessage;

/** Counts a proxy's attempts by host and its requests by operation between two load reports. */
public final class LoadStatistics {
    private static final class HostTotals {
        private int attempts;
        private int failures;
        private double successMs; // sum of the latencies of all successful attempts

        void add(boolean isSuccess, double latencyMs) {
            attempts++;
            failures += isSuccess ? 0 : 1;
            successMs += isSuccess ? latencyMs : 0;
        }

        double meanSuccessMs() {
            return attempts == failures ? 0 : successMs / (attempts - failures);
        }
    }

    private final int proxy;
    private final int zone;
    private final HostRegistry hosts;
    // The fields below are guarded by this object's lock.
    private final TreeMap<Integer, HostTotals> totalsByHost = new TreeMap<>();
    private final int[] requestsByOperation;
    private double periodStartMs;

    /** Creates empty statistics of a proxy; {@code zone} is the index of the proxy's zone. */
    public LoadStatistics(int proxy, int zone, HostRegistry hosts, int operations, double nowMs) {
        this.proxy = proxy;
        this.zone = zone;
        this.hosts = hosts;
        requestsByOperation = new int[operations];
        periodStartMs = nowMs;
    }

    /** Records a client's request for an operation. */
    public synchronized void recordRequest(int operation) {
        requestsByOperation[operation]++;
    }

    /** Records that an attempt at a host ended after {@code latencyMs}. */
    public synchronized void recordAttempt(int host, boolean isSuccess, double latencyMs) {
        totalsByHost.computeIfAbsent(host, index -> new HostTotals()).add(isSuccess, latencyMs);
    }

    /** Returns the load reports and request rates since the previous call, and resets the counters. */
    public synchronized List<InboundMessage> takeReports(double nowMs) {
        double periodMs = nowMs - periodStartMs;
        List<InboundMessage> report = new ArrayList<>();
        if (!(periodMs > 0)) {
            return report;
        }
        totalsByHost.forEach((host, totals) -> report.add(new InboundMessage.LoadReport(
                hosts.host(host).id(), zone, totals.attempts, totals.failures, totals.meanSuccessMs(), periodMs)));
        for (int operation = 0; operation < requestsByOperation.length; operation++) {
            report.add(
                    new InboundMessage.RequestRateReport(proxy, operation, requestsByOperation[operation], periodMs));
            requestsByOperation[operation] = 0;
        }
        totalsByHost.clear();
        periodStartMs = nowMs;
        return report;
    }
}
