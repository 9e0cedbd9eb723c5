package linenring.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.planner.PlannerSettings.Operation;

/** The tiny fake host that all stories play against: it carries out orders at once and remembers them. */
final class FakeHost implements Commands {
    static final long ALL = -1;

    final TreeMap<Integer, TreeMap<Integer, Double>> tables = new TreeMap<>();
    final TreeMap<Integer, Integer> bound = new TreeMap<>(); // proxy to its latest table
    final TreeMap<Integer, Double> levels = new TreeMap<>(); // by mask
    final TreeMap<Integer, RetryPolicy> tries = new TreeMap<>();
    final Set<Integer> out = new TreeSet<>();
    final Set<Integer> silent = new TreeSet<>(); // proxies that answer no barrier
    final Set<Integer> joined = new TreeSet<>();
    final List<String> said = new ArrayList<>();
    final Planner planner;
    double now = 100_000, answerMs = 200, usual = 1, span = 1000;
    int barriers, bindsBring, wayAdds;
    private final List<Integer> pending = new ArrayList<>(); // marks not answered yet

    FakeHost(PlannerSettings figures) {
        planner = new Planner(figures, this);
    }

    static Operation operation(double value, long zones) {
        return new Operation(1000, value, zones, ALL, false, 2);
    }

    static PlannerSettings figures(int messagesMost, Operation... operations) {
        return figures(messagesMost, new PlannerSettings.Shards(0, false, 0, 0), operations);
    }

    static PlannerSettings figures(int messagesMost, PlannerSettings.Shards slices, Operation... operations) {
        return new PlannerSettings(
                operations.length > 0 ? List.of(operations) : List.of(operation(1, ALL)),
                new PlannerSettings.ColdStart(0.2, 10_000),
                new PlannerSettings.Channel(1000, 4, 1500, messagesMost, 10_000, 100, 250, 2000),
                slices,
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
    }

    /** What each proxy that joins from now on is asked a second, about. */
    FakeHost asked(double aSecond) {
        usual = aSecond;
        return this;
    }

    /** A fleet of warm hosts, the even ones in zone 0 and the odd ones in zone 1, and joined proxies. */
    FakeHost fleet(int hosts, int proxies) {
        planner.clock(now);
        planner.beginHostList(true);
        for (int h = 0; h < hosts; h++) {
            planner.hostReady(h, h % 2, 0, 1, Double.NEGATIVE_INFINITY);
        }
        planner.endHostList();
        for (int p = 0; p < proxies; p++) {
            join(p);
        }
        return settle().pass(10_500); // by then the steward is no longer new
    }

    void join(int proxy) {
        planner.joined(proxy, proxy % 2, usual);
        joined.add(proxy);
    }

    void starts(int host) {
        planner.beginHostList(false);
        planner.hostReady(host, host % 2, 0, 1, now);
        planner.endHostList();
    }

    void drains(int host) {
        planner.beginHostList(false);
        planner.hostDraining(host, host % 2, 0, 1);
        planner.endHostList();
    }

    FakeHost settle() {
        said.clear();
        planner.reconcile();
        return this;
    }

    /** Lets time pass in steps of 100 ms; barriers are answered a step later, but not by silent proxies. */
    FakeHost pass(double ms) {
        for (double end = now + ms; now < end; ) {
            now += 100;
            planner.clock(now);
            for (int mark : pending) {
                joined.stream()
                        .filter(p -> !silent.contains(p))
                        .forEach(p -> planner.barrierAcknowledged(p, mark, answerMs));
            }
            pending.clear();
            planner.reconcile();
        }
        return this;
    }

    /** Reports of one second in which the hosts met these tries, with so many bad ones at some of them. */
    FakeHost second(int hosts, int proxyZone, int total, double ms, int bad, Set<Integer> badHosts) {
        for (int h = 0; h < hosts; h++) {
            planner.hostStatistics(h, proxyZone, total, badHosts.contains(h) ? bad : 0, ms, span);
        }
        return pass(1000);
    }

    double weight(int proxy, int host) {
        return out.contains(host) ? 0 : tables.get(bound.get(proxy)).getOrDefault(host, 0.0);
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        said.add("line");
        if (weight > 0) {
            tables.computeIfAbsent(table, t -> new TreeMap<>()).put(host, weight);
        } else {
            tables.computeIfAbsent(table, t -> new TreeMap<>()).remove(host);
        }
    }

    @Override
    public void clearTable(int table) {
        said.add("wipe");
        tables.remove(table);
    }

    @Override
    public void setEjected(int host, boolean shut) {
        said.add("withdraw");
        if (shut) {
            out.add(host);
        } else {
            out.remove(host);
        }
    }

    @Override
    public void bindProxy(int table, int operations, int proxy) {
        said.add("bind");
        bound.put(proxy, table);
    }

    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        return bindsBring;
    }

    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        return 0;
    }

    @Override
    public void setAdmission(int table, int operations, double admissionRatio, RetryPolicy how) {
        levels.put(operations, admissionRatio);
        tries.put(operations, how);
    }

    @Override
    public void requestAcknowledgement(int mark) {
        barriers++;
        pending.add(mark);
    }

    @Override
    public double entriesInMessage(int proxy, double reckoned) {
        return reckoned + wayAdds;
    }

    @Override
    public void requestCall(double at) {
        // time passes in the stories' own steps
    }

    @Override
    public void watchHostList() {
        said.add("followList");
    }
}
