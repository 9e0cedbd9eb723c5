package linenring.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.planner.PlannerSettings.Operation;

/**
 * Test double of the proxies: applies the planner's commands at once and records them; also supplies the hosts and
 * the clock.
 */
final class FakeProxies implements Commands {
    static final long ALL = -1;
    private static final double STEP_MS = 100;

    private final Map<Integer, Map<Integer, Double>> tables = new TreeMap<>();
    private final Map<Integer, Integer> tableByProxy = new TreeMap<>();
    private final Map<Integer, Double> admissionByMask = new TreeMap<>();
    private final Map<Integer, RetryPolicy> retryPolicyByMask = new TreeMap<>();
    private final Set<Integer> ejected = new TreeSet<>();
    private final Set<Integer> unresponsiveProxies = new TreeSet<>();
    private final Set<Integer> joined = new TreeSet<>();
    private final List<Integer> unacknowledgedNonces = new ArrayList<>();
    private final Planner planner;
    private double nowMs = 100_000;
    private double acknowledgementMs = 200;
    private double usualRequestsPerSecond = 1;
    private double reportSpanMs = 1000;
    private int acknowledgementRequests;
    private int extraEntriesOfBind;
    private int extraEntriesOfMessage;

    FakeProxies(PlannerSettings settings) {
        planner = new Planner(settings, this);
    }

    static Operation operation(double value, long zones) {
        return new Operation(1000, value, zones, ALL, false, 2);
    }

    static PlannerSettings settings(int maxMessages, Operation... operations) {
        return settings(maxMessages, new PlannerSettings.Shards(0, false, 0, 0), operations);
    }

    static PlannerSettings settings(int maxMessages, PlannerSettings.Shards shards, Operation... operations) {
        return new PlannerSettings(
                operations.length > 0 ? List.of(operations) : List.of(operation(1, ALL)),
                new PlannerSettings.ColdStart(0.2, 10_000),
                new PlannerSettings.Channel(1000, 4, 1500, maxMessages, 10_000, 100, 250, 2000),
                shards,
                PlannerSettings.AdmissionUnit.SHARE,
                false,
                0,
                false,
                6);
    }

    /** Sets the request rate that proxies state when they join from now on. */
    FakeProxies withRequestsPerSecond(double requestsPerSecond) {
        usualRequestsPerSecond = requestsPerSecond;
        return this;
    }

    /**
     * Starts warm hosts (even ids in zone 0, odd ids in zone 1), connects proxies, and lets time pass until all
     * proxies are bound.
     */
    FakeProxies start(int hosts, int proxies) {
        planner.advanceClock(nowMs);
        planner.beginHostList(true);
        for (int host = 0; host < hosts; host++) {
            planner.hostReady(host, host % 2, 0, 1, Double.NEGATIVE_INFINITY);
        }
        planner.endHostList();
        for (int proxy = 0; proxy < proxies; proxy++) {
            join(proxy);
        }
        return reconcile().advance(10_500); // long enough for the controller's start-up phase to end
    }

    Planner planner() {
        return planner;
    }

    double nowMs() {
        return nowMs;
    }

    void join(int proxy) {
        planner.proxyJoined(proxy, proxy % 2, usualRequestsPerSecond);
        joined.add(proxy);
    }

    /** Disconnects the proxy for good. */
    void leave(int proxy) {
        planner.proxyDisconnected(proxy);
        joined.remove(proxy);
    }

    void startHost(int host) {
        planner.beginHostList(false);
        planner.hostReady(host, host % 2, 0, 1, nowMs);
        planner.endHostList();
    }

    void drainHost(int host) {
        planner.beginHostList(false);
        planner.hostDraining(host, host % 2, 0, 1);
        planner.endHostList();
    }

    FakeProxies reconcile() {
        planner.reconcile();
        return this;
    }

    /** Advances the clock in steps; each message is acknowledged one step later, except by unresponsive proxies. */
    FakeProxies advance(double durationMs) {
        double endMs = nowMs + durationMs;
        while (nowMs < endMs) {
            nowMs += STEP_MS;
            planner.advanceClock(nowMs);
            for (int nonce : unacknowledgedNonces) {
                joined.stream()
                        .filter(proxy -> !unresponsiveProxies.contains(proxy))
                        .forEach(proxy -> planner.messageAcknowledged(proxy, nonce, acknowledgementMs));
            }
            unacknowledgedNonces.clear();
            planner.reconcile();
        }
        return this;
    }

    /**
     * Reports the given number of attempts at each host in one second, some of them failed at the failing hosts; then
     * advances the clock by one second.
     */
    FakeProxies reportAndAdvanceOneSecond(
            int hosts, int proxyZone, int attempts, double meanMs, int failed, Set<Integer> failingHosts) {
        for (int host = 0; host < hosts; host++) {
            planner.hostStatistics(
                    host, proxyZone, attempts, failingHosts.contains(host) ? failed : 0, meanMs, reportSpanMs);
        }
        return advance(1000);
    }

    /** Returns the weight with which the proxy chooses the host; 0 while the host is ejected. */
    double weight(int proxy, int host) {
        return ejected.contains(host) ? 0 : entries(proxy).getOrDefault(host, 0.0);
    }

    /** Returns the weights in the table that the proxy was last bound to, by host. */
    Map<Integer, Double> entries(int proxy) {
        return tables.get(tableByProxy.get(proxy));
    }

    /** Returns the weights of all tables, by table number and host. */
    Map<Integer, Map<Integer, Double>> tables() {
        return tables;
    }

    /** Returns the number of the table that each bound proxy was last bound to, by proxy. */
    Map<Integer, Integer> tableByProxy() {
        return tableByProxy;
    }

    Map<Integer, Double> admissionByMask() {
        return admissionByMask;
    }

    Map<Integer, RetryPolicy> retryPolicyByMask() {
        return retryPolicyByMask;
    }

    Set<Integer> ejected() {
        return ejected;
    }

    Set<Integer> joined() {
        return joined;
    }

    /** Returns the modifiable set of proxies that do not acknowledge messages. */
    Set<Integer> unresponsiveProxies() {
        return unresponsiveProxies;
    }

    int acknowledgementRequests() {
        return acknowledgementRequests;
    }

    /** Sets the round-trip time that acknowledgements state. */
    void setAcknowledgementMs(double tookMs) {
        acknowledgementMs = tookMs;
    }

    void setReportSpanMs(double spanMs) {
        reportSpanMs = spanMs;
    }

    void setExtraEntriesOfBind(int entries) {
        extraEntriesOfBind = entries;
    }

    void setExtraEntriesOfMessage(int entries) {
        extraEntriesOfMessage = entries;
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        if (weight > 0) {
            tables.computeIfAbsent(table, number -> new TreeMap<>()).put(host, weight);
        } else {
            tables.computeIfAbsent(table, number -> new TreeMap<>()).remove(host);
        }
    }

    @Override
    public void clearTable(int table) {
        tables.remove(table);
    }

    @Override
    public void setEjected(int host, boolean eject) {
        if (eject) {
            ejected.add(host);
        } else {
            ejected.remove(host);
        }
    }

    @Override
    public void bindProxy(int table, int operations, int proxy) {
        tableByProxy.put(proxy, table);
    }

    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        return extraEntriesOfBind;
    }

    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        return 0;
    }

    @Override
    public void setAdmission(int table, int operations, double admissionRatio, RetryPolicy retryPolicy) {
        admissionByMask.put(operations, admissionRatio);
        retryPolicyByMask.put(operations, retryPolicy);
    }

    @Override
    public void requestAcknowledgement(int nonce) {
        acknowledgementRequests++;
        unacknowledgedNonces.add(nonce);
    }

    @Override
    public double entriesInMessage(int proxy, double expectedEntries) {
        return expectedEntries + extraEntriesOfMessage;
    }

    @Override
    public void requestCall(double atMs) {
        // not needed: the tests call the planner at every step of the clock
    }

    @Override
    public void watchHostList() {
        // not needed: the host list is not polled with these settings
    }
}
