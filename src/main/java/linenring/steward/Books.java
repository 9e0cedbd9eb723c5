package linenring.steward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.exchange.Stream;
import linenring.log.Log;
import linenring.message.Order;
import linenring.plan.Orders;

/**
 * Remembers what is laid, bound, withdrawn and levelled, and what each proxy has been told of it; makes one
 * message for each proxy concerned of all that was ordered since the last {@link #send}.
 */
final class Books implements Orders {
    /** What a proxy does with a host, as far as is known here. */
    private static final byte OPEN = 0, SHUT = 1;
    /** The order may be lost with a stream; another steward, or an earlier life of this one, may have shut it out. */
    private static final byte UNSURE = 2, FOREIGN = 3;
    private static final int LINES_MOST = 10_000; // of one part: some 40 bytes each keep its line under half a MiB

    private static final class Table {
        final TreeMap<Integer, Double> lines = new TreeMap<>(); // weight by host
        final Order.Level[] levels;                             // by operation; null where none is set
        final Set<Integer> changed = new TreeSet<>();           // hosts whose lines changed since the last send
        final BitSet levelled = new BitSet();                   // operations whose level changed since then
        boolean wiped;

        Table(int operations) {
            levels = new Order.Level[operations];
        }
    }

    private static final class Proxy {
        final int id;
        final int[] bound;               // table by operation, or -1 for its standing table
        final BitSet rebound = new BitSet();
        final BitSet everShut = new BitSet(); // hosts it was ever told to shut out
        Stream stream;                   // null while it has none
        boolean foreign;                 // others may have shut hosts out there
        byte[] holds = {};               // by host

        Proxy(int id, int operations) {
            this.id = id;
            bound = new int[operations];
            Arrays.fill(bound, -1);
        }

        byte holds(int host) {
            return host < holds.length ? holds[host] : foreign ? FOREIGN : OPEN;
        }

        void setHolds(int host, byte what) {
            if (host >= holds.length) {
                int known = holds.length;
                holds = Arrays.copyOf(holds, host + 16);
                Arrays.fill(holds, known, holds.length, foreign ? FOREIGN : OPEN);
            }
            holds[host] = what;
        }
    }

    private final List<String> operations;
    private final Log log;
    private final Map<String, Integer> hosts = new HashMap<>();
    private final List<String> words = new ArrayList<>();
    private final TreeMap<Integer, Table> tables = new TreeMap<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final BitSet out = new BitSet(), outChanged = new BitSet();
    private final Order.Level[] everywhere; // levels for all proxies, by operation
    private final PriorityQueue<Double> alarms = new PriorityQueue<>();
    private final Set<Proxy> concerned = new LinkedHashSet<>(); // in the order in which they came to be
    private int mark = Order.NO_MARK;

    Books(List<String> operations, int proxies, Log log) {
        this.operations = operations;
        this.log = log;
        everywhere = new Order.Level[operations.size()];
        for (int id = 0; id < proxies; id++) {
            this.proxies.add(new Proxy(id, operations.size()));
        }
    }

    // ---- hosts and proxies

    /** The index of a host that is listed now; a new one gets the next. */
    int listed(String word) {
        return hosts.computeIfAbsent(word, w -> {
            words.add(w);
            return words.size() - 1;
        });
    }

    /** The index of a host, or -1 if it was never listed. */
    int host(String word) {
        return hosts.getOrDefault(word, -1);
    }

    boolean isCurrent(int proxy, Stream stream) {
        return proxies.get(proxy).stream == stream;
    }

    /** The proxy that speaks on this stream, or -1: it is none's, or that of a proxy that has a newer one. */
    int proxyOf(Stream stream) {
        return proxies.stream().filter(p -> p.stream == stream).mapToInt(p -> p.id).findFirst().orElse(-1);
    }

    void joined(int proxy, Stream stream, boolean fresh) {
        Proxy p = proxies.get(proxy);
        Stream old = p.stream;
        left(proxy);
        if (old != null && old != stream) {
            old.close("has a newer stream");
        }
        p.stream = stream;
        p.foreign = !fresh && (p.foreign || old != stream); // it may have been elsewhere meanwhile
        p.holds = new byte[0];
        p.everShut.stream().forEach(h -> p.setHolds(h, UNSURE)); // what was on its way may be lost
    }

    void left(int proxy) {
        Proxy p = proxies.get(proxy);
        p.stream = null;
        Arrays.fill(p.bound, -1);
        p.rebound.clear();
        concerned.remove(p);
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

    private Table table(int number) {
        return tables.computeIfAbsent(number, n -> new Table(operations.size()));
    }

    private boolean uses(Proxy p, int table) {
        return p.stream != null && Arrays.stream(p.bound).anyMatch(b -> b == table);
    }

    private void concernUsers(int table) {
        proxies.stream().filter(p -> uses(p, table)).forEach(concerned::add);
    }

    private boolean meant(int mask, int operation) {
        return mask == 0 || (mask >> operation & 1) != 0;
    }

    @Override
    public void line(int table, int host, double weight) {
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
    public void wipe(int table) {
        Table t = table(table);
        t.lines.clear();
        Arrays.fill(t.levels, null);
        t.wiped = true;
        concernUsers(table);
    }

    @Override
    public void withdraw(int host, boolean shut) {
        out.set(host, shut);
        outChanged.set(host);
        for (Proxy p : proxies) { // a standing table may hold any host
            if (p.stream != null && Arrays.stream(p.bound)
                    .anyMatch(b -> b == -1 || table(b).lines.containsKey(host))) {
                concerned.add(p);
            }
        }
    }

    @Override
    public int bind(int table, int mask, int proxy) {
        Proxy p = proxies.get(proxy);
        if (p.stream == null) {
            return 0; // it has left
        }
        for (int k = 0; k < p.bound.length; k++) {
            if (meant(mask, k)) {
                p.bound[k] = table;
                p.rebound.set(k);
            }
        }
        concerned.add(p);
        return (int) table(table).lines.keySet().stream().filter(h -> !out.get(h) && p.holds(h) % FOREIGN != OPEN)
                .count();
    }

    @Override
    public void level(int table, int mask, double letIn, FurtherTries tries) {
        Order.Level level = new Order.Level(letIn, tries.ordinal());
        for (int k = 0; k < operations.size(); k++) {
            if (!meant(mask, k)) {
                continue;
            }
            int operation = k;
            if (table == EVERY_TABLE) {
                everywhere[k] = level;
                tables.values().forEach(t -> t.levelled.set(operation));
            } else {
                table(table).levels[k] = level;
                table(table).levelled.set(k);
            }
        }
        if (table == EVERY_TABLE) {
            proxies.stream().filter(p -> p.stream != null).forEach(concerned::add);
        } else {
            concernUsers(table);
        }
    }

    @Override
    public void barrier(int number, boolean everyProxy) {
        mark = number;
        if (everyProxy) {
            proxies.stream().filter(p -> p.stream != null).forEach(concerned::add);
        }
    }

    @Override
    public void probe(int host) {
        log.warn("decision", "asks for a probe, and there is no way to probe here");
    }

    @Override
    public void alarm(double at, long handle) {
        alarms.add(at);
    }

    @Override
    public void askList() {
        // discovery is watched all the time
    }

    @Override
    public void followList() {
        // discovery is watched all the time
    }

    @Override
    public void note(String text) {
        log.info("decision", text);
    }

    // ---- messages

    /** Sends what was ordered since the last time: one message for each proxy concerned. */
    void send() {
        for (Proxy p : List.copyOf(concerned)) {
            p.stream.write(message(p));
        }
        proxies.forEach(p -> p.rebound.clear());
        tables.values().forEach(t -> {
            t.changed.clear();
            t.levelled.clear();
            t.wiped = false;
        });
        tables.entrySet().removeIf(e -> e.getValue().lines.isEmpty()
                && Arrays.stream(e.getValue().levels).allMatch(l -> l == null)
                && proxies.stream().noneMatch(p -> uses(p, e.getKey())));
        outChanged.clear();
        concerned.clear();
        mark = Order.NO_MARK;
    }

    private Order message(Proxy p) {
        List<Order.Part> parts = new ArrayList<>();
        BitSet told = new BitSet();
        BitSet open = new BitSet();
        open.set(0, operations.size());
        int spare = -1; // lines that the decisions reckon with and no order takes; -1: no whole table is told
        while (!open.isEmpty()) { // the operations by the table that they are on, and whether it is new to them
            int first = open.nextSetBit(0), number = p.bound[first];
            Table t = number < 0 ? null : table(number);
            boolean whole = t != null && (p.rebound.get(first) || t.wiped);
            BitSet alike = new BitSet();
            open.stream().filter(k -> p.bound[k] == number
                    && whole == (t != null && (p.rebound.get(k) || t.wiped))).forEach(alike::set);
            open.andNot(alike);
            int levels = tableParts(parts, t, whole, alike);
            spare = whole ? Math.max(0, spare) + alike.cardinality() - levels : spare; // a level for each is reckoned with
            Set<Integer> hosts = t == null ? Set.of() : whole ? t.lines.keySet() : t.changed;
            hosts.stream().filter(t == null ? h -> false : t.lines::containsKey)
                    .filter(h -> !whole || out.get(h) || p.holds(h) != FOREIGN).forEach(told::set);
        }
        outChanged.stream().filter(h -> !out.get(h) || holdsLine(p, h)).forEach(told::set);
        told.stream().filter(out::get).forEach(p.everShut::set);
        List<String> shutOut = say(p, told.stream().filter(out::get).toArray(), SHUT);
        List<String> letBack = new ArrayList<>(say(p, told.stream().filter(h -> !out.get(h)).toArray(), OPEN));
        spare = spare >= 0 ? spare : parts.isEmpty() || !shutOut.isEmpty() ? 0 : 1; // one is no burden, but to drains
        letBack.addAll(say(p, tables.entrySet().stream().filter(e -> uses(p, e.getKey()))
                .flatMap(e -> e.getValue().lines.keySet().stream()).distinct().mapToInt(h -> h)
                .filter(h -> !out.get(h) && p.holds(h) == FOREIGN).limit(spare).toArray(), OPEN));
        // hosts and the mark go into the last part
        Order.Part e = parts.isEmpty() ? part(List.of(), false, List.of(), null) : parts.remove(parts.size() - 1);
        parts.add(new Order.Part(e.operations(), e.whole(), e.lines(), e.level(), shutOut, letBack, mark));
        return new Order(parts);
    }

    /** The words for those of the hosts at which the proxy is not known to do this already; from now on it is. */
    private List<String> say(Proxy p, int[] hosts, byte what) {
        List<String> said = new ArrayList<>();
        for (int h : hosts) {
            if (p.holds(h) != what) {
                said.add(words.get(h));
                p.setHolds(h, what);
            }
        }
        return said;
    }

    private boolean holdsLine(Proxy p, int host) { // or did until now
        return Arrays.stream(p.bound).anyMatch(b -> b == -1 || table(b).lines.containsKey(host)
                || table(b).changed.contains(host));
    }

    private static Order.Part part(List<String> operations, boolean whole, List<Order.Line> lines, Order.Level level) {
        return new Order.Part(operations, whole, lines, level, List.of(), List.of(), Order.NO_MARK);
    }

    /** Adds the parts that tell of one table; tells how many levels they have. */
    private int tableParts(List<Order.Part> parts, Table t, boolean whole, BitSet alike) {
        List<Order.Line> lines = new ArrayList<>();
        for (int h : t == null ? Set.<Integer>of() : whole ? t.lines.keySet() : t.changed) {
            lines.add(new Order.Line(words.get(h), t.lines.getOrDefault(h, 0.0)));
        }
        Map<Order.Level, BitSet> levels = new LinkedHashMap<>(); // operations by their level
        alike.stream().filter(k -> whole || t == null ? everywhere[k] != null || t != null && t.levels[k] != null
                : t.levelled.get(k)).forEach(k -> {
                    Order.Level level = lower(t == null ? null : t.levels[k], everywhere[k]);
                    if (level != null) {
                        levels.computeIfAbsent(level, l -> new BitSet()).set(k);
                    }
                });
        Order.Level forAll = levels.size() == 1 && levels.values().iterator().next().equals(alike)
                ? levels.keySet().iterator().next() : null;
        for (int from = 0; from == 0 ? whole || !lines.isEmpty() || forAll != null : from < lines.size();
                from += LINES_MOST) {
            List<Order.Line> some = lines.subList(from, Math.min(lines.size(), from + LINES_MOST));
            parts.add(part(names(alike), whole && from == 0, some, from == 0 ? forAll : null));
        }
        if (forAll == null) {
            levels.forEach((level, mask) -> parts.add(part(names(mask), false, List.of(), level)));
        }
        return levels.size();
    }

    /** Beside the table's own level the lower one counts, and the table's way to try again. */
    private static Order.Level lower(Order.Level own, Order.Level everywhere) {
        return own == null || everywhere == null ? own == null ? everywhere : own
                : new Order.Level(Math.min(own.letIn(), everywhere.letIn()), own.tries());
    }

    private List<String> names(BitSet mask) {
        return mask.cardinality() == operations.size() ? List.of()
                : mask.stream().mapToObj(operations::get).toList();
    }
}
