package linenring.controller;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.Commands;
import linenring.protocol.ConfigurationUpdate;

/**
 * Remembers what is laid, bound, withdrawn and levelled, and whom it concerns; sends one message to each proxy
 * concerned of all that was ordered since the last {@link #send}.
 */
final class FleetState implements Commands {
    final List<String> operations;
    final HostIds hostIds = new HostIds();
    final TreeMap<Integer, Table> tables = new TreeMap<>();
    final BitSet out = new BitSet(), outChanged = new BitSet(); // withdrawn hosts; those that changed
    private final Log log;
    private final List<Proxy> proxies = new ArrayList<>();
    private final Messages messages = new Messages(this);
    private final PriorityQueue<Double> alarms = new PriorityQueue<>();
    private final Set<Proxy> concerned = new LinkedHashSet<>(); // in the order in which they came to be
    private int mark = ConfigurationUpdate.NO_NONCE;

    FleetState(List<String> operations, int proxies, Log log) {
        this.operations = operations;
        this.log = log;
        for (int id = 0; id < proxies; id++) {
            this.proxies.add(new Proxy(id, operations.size()));
        }
    }

    // ---- hosts and proxies

    /** Forgets a removed host that no table has a line for: its id is free for another, of whom nothing is known. */
    void release(int host) {
        out.clear(host);
        proxies.forEach(p -> p.forget(host, hostIds.limit()));
        hostIds.release(host);
    }

    boolean isCurrent(int proxy, ProxyStream stream) {
        return proxies.get(proxy).stream == stream;
    }

    /** Whether the proxy has a stream that was opened after this one. */
    boolean hasNewer(int proxy, ProxyStream stream) {
        ProxyStream has = proxies.get(proxy).stream;
        return has != null && has.number() > stream.number();
    }

    /** The proxy that speaks on this stream, or -1: it is none's, or that of a proxy that has a newer one. */
    int proxyOf(ProxyStream stream) {
        return proxies.stream()
                .filter(p -> stream != null && p.stream == stream)
                .mapToInt(p -> p.id)
                .findFirst()
                .orElse(-1);
    }

    void joined(int proxy, ProxyStream stream, boolean fresh) {
        ProxyStream old = proxies.get(proxy).stream;
        left(proxy);
        proxies.get(proxy).joins(stream, fresh, old == stream);
        if (old != null && old != stream) {
            close(old, "has a newer stream");
        }
    }

    private void close(ProxyStream stream, String why) {
        try {
            stream.close(why);
        } catch (RuntimeException e) {
            log.error("fault", "a stream can't be closed: " + e);
        }
    }

    void left(int proxy) {
        proxies.get(proxy).leaves();
        concerned.remove(proxies.get(proxy));
    }

    /** When the next alarm is due; infinity where none is. */
    double nextAlarm() {
        return alarms.isEmpty() ? Double.POSITIVE_INFINITY : alarms.peek();
    }

    void alarmsUpTo(double now) {
        while (nextAlarm() <= now) {
            alarms.poll();
        }
    }

    // ---- orders

    Table table(int number) {
        return tables.computeIfAbsent(number, n -> new Table(operations.size()));
    }

    private void concernUsers(int table) {
        proxies.stream().filter(p -> p.uses(table)).forEach(concerned::add);
    }

    private boolean meant(int mask, int operation) {
        return mask == 0 || (mask >> operation & 1) != 0;
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        Table t = table(table);
        if (weight > 0) {
            t.lines.put(host, weight);
        } else {
            t.lines.remove(host);
        }
        t.changed.add(host);
        concernUsers(table);
    }

    @Override
    public void clearTable(int table) {
        Table t = table(table);
        t.lines.clear();
        Arrays.fill(t.levels, null);
        t.wiped = true;
        concernUsers(table);
    }

    @Override
    public void setEjected(int host, boolean shut) {
        out.set(host, shut);
        outChanged.set(host);
        for (Proxy p : proxies) { // a standing table may hold any host
            if (p.stream != null
                    && Arrays.stream(p.bound)
                            .anyMatch(b -> b == -1 || table(b).lines.containsKey(host))) {
                concerned.add(p);
            }
        }
    }

    @Override
    public void bindProxy(int table, int mask, int proxy) {
        Proxy p = proxies.get(proxy);
        if (p.stream == null) {
            return; // it has left
        }
        for (int k = 0; k < p.bound.length; k++) {
            if (meant(mask, k)) {
                p.bound[k] = table;
                p.rebound.set(k);
            }
        }
        concerned.add(p);
    }

    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        Proxy p = proxies.get(proxy);
        return (int) table(table).lines.keySet().stream()
                .filter(h -> !out.get(h) && p.mustBeLetBack(h))
                .count();
    }

    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        return proxies.get(proxy).holds(host) == (out.get(host) ? Proxy.SHUT : Proxy.OPEN) ? 0 : 1;
    }

    @Override
    public void setAdmission(int table, int mask, double admissionRatio, RetryPolicy tries) {
        ConfigurationUpdate.AdmissionPolicy level =
                new ConfigurationUpdate.AdmissionPolicy(admissionRatio, tries.ordinal());
        for (int k = 0; k < operations.size(); k++) {
            if (!meant(mask, k)) {
                continue;
            }
            table(table).levels[k] = level;
            table(table).levelled.set(k);
        }
        concernUsers(table);
    }

    @Override
    public void requestAcknowledgement(int number) {
        mark = number;
    }

    @Override
    public double entriesInMessage(int proxy, double reckoned) {
        Proxy p = proxies.get(proxy);
        if (!concerned.contains(p)) {
            return reckoned;
        }
        p.next = messages.to(p, mark);
        return p.next.entryCount();
    }

    @Override
    public void requestCall(double at) {
        alarms.add(at);
    }

    @Override
    public void watchHostList() {
        // discovery is watched all the time
    }

    // ---- messages

    /** Sends what was ordered since the last time: one message for each proxy concerned. */
    void send() {
        List.copyOf(concerned).forEach(this::send);
        proxies.forEach(p -> p.rebound.clear());
        tables.values().forEach(Table::sent);
        tables.entrySet()
                .removeIf(e -> e.getValue().lines.isEmpty()
                        && Arrays.stream(e.getValue().levels).allMatch(l -> l == null)
                        && proxies.stream().noneMatch(p -> p.uses(e.getKey())));
        outChanged.clear();
        concerned.clear();
        mark = ConfigurationUpdate.NO_NONCE;
    }

    /** What a fault keeps from one proxy keeps nothing from the others; it is let go, joins anew and gets its table whole. */
    private void send(Proxy p) {
        try {
            p.stream.write(p.next != null ? p.next : messages.to(p, mark));
            p.next = null;
        } catch (RuntimeException e) {
            log.error("fault", "proxy " + p.id + " can't be written to and is let go: " + e);
            close(p.stream, "can't be written to");
        }
    }
}
