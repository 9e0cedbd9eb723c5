package linenring.routing;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.IntPredicate;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;

/**
 * The honest reader of a steward's orders: what a proxy holds, and whom it picks. Orders are applied by one thread at a
 * time; picks come from any thread and see the tables before or after an order, never between. Hosts and operations
 * are indices; times are ms on the caller's clock.
 */
public final class Tables {
    /** No host may be picked. */
    public static final int NONE = HostSelection.NONE;
    /** What proxies do until they are told otherwise. */
    static final RetryPolicy UNTOLD = RetryPolicy.ONE_IF_NOT_EXECUTED;

    /** What came of an order: the marks to answer, in order, or why it can't be used and changed nothing. */
    public record Applied(List<Integer> marks, String unusable) {
        public boolean isUsable() {
            return unusable == null;
        }
    }

    /** One operation's: never changed once it is in {@link #held}. */
    private record Held(TreeMap<Integer, Double> lines, AdmissionControl admissionRatio, RetryPolicy tries) {
        static final Held NOTHING = new Held(new TreeMap<>(), AdmissionControl.ALL, UNTOLD);
    }

    /** What may be drawn from: of one state of the tables and of who is avoided. */
    private record Open(int avoidance, HostSelection choice, HostSelection avoidedToo) {}

    private final List<String> operations;
    private final HostRegistry hosts;
    private final Measure measure;
    private final OutlierEjection avoidance;
    private final Map<String, Integer> numbers = new HashMap<>();
    private volatile Held[] held;
    private BitSet ejected = new BitSet(); // kept across streams; replaced, never changed
    private final AtomicReferenceArray<Open> open;

    /** {@code avoidAfter} own tries that errored in a row keep it away from a host for {@code avoidFor} ms. */
    public Tables(List<String> operations, HostRegistry hosts, Measure measure, int avoidAfter, double avoidFor) {
        this.operations = List.copyOf(operations);
        this.hosts = hosts;
        this.measure = measure;
        avoidance = new OutlierEjection(avoidAfter, avoidFor);
        held = new Held[operations.size()];
        open = new AtomicReferenceArray<>(operations.size());
        for (int k = 0; k < held.length; k++) {
            held[k] = Held.NOTHING;
            numbers.put(operations.get(k), k);
        }
    }

    // ---- orders

    /** Applies all parts of an order, or none of them where one can't be used. */
    public synchronized Applied apply(ConfigurationUpdate order) {
        Held[] next = held.clone();
        BitSet shut = (BitSet) ejected.clone();
        List<Integer> marks = new ArrayList<>();
        for (ConfigurationUpdate.Part part : order.parts()) {
            String fault = apply(part, next, shut);
            if (fault != null) {
                return new Applied(List.of(), fault);
            }
            if (part.mark() != ConfigurationUpdate.NO_MARK) {
                marks.add(part.mark());
            }
        }
        held = next;
        ejected = shut;
        for (int k = 0; k < next.length; k++) {
            open.set(k, null);
        }
        return new Applied(marks, null);
    }

    private String apply(ConfigurationUpdate.Part part, Held[] next, BitSet shut) {
        BitSet meant = new BitSet();
        for (String operation : part.operations()) {
            Integer k = numbers.get(operation);
            if (k == null) {
                return "unknown operation '" + operation + "'";
            }
            meant.set(k);
        }
        if (part.operations().isEmpty()) {
            meant.set(0, next.length);
        }
        TreeMap<Integer, Double> changes = new TreeMap<>();
        for (ConfigurationUpdate.Line line : part.lines()) {
            int host = hosts.index(line.host());
            if (host < 0) {
                return "host '" + line.host() + "' was never listed";
            } else if (!(line.weight() >= 0) || Double.isInfinite(line.weight())) {
                return "weight " + line.weight() + " of host '" + line.host() + "'";
            }
            changes.put(host, line.weight());
        }
        ConfigurationUpdate.Level level = part.level();
        if (level != null
                && (!(level.admissionRatio() >= 0)
                        || level.tries() < 0
                        || level.tries() >= RetryPolicy.values().length)) {
            return "level " + level.admissionRatio() + " with further tries " + level.tries();
        }
        for (int k = meant.nextSetBit(0); k >= 0; k = meant.nextSetBit(k + 1)) {
            Held was = next[k];
            TreeMap<Integer, Double> lines = was.lines();
            if (part.whole() || !changes.isEmpty()) {
                lines = part.whole() ? new TreeMap<>() : new TreeMap<>(was.lines());
                lines.putAll(changes);
                lines.values().removeIf(weight -> weight == 0);
            }
            AdmissionControl admissionRatio = level != null
                    ? was.admissionRatio().next(level.admissionRatio(), measure)
                    : part.whole() ? AdmissionControl.ALL : was.admissionRatio();
            RetryPolicy tries =
                    level != null ? RetryPolicy.values()[level.tries()] : part.whole() ? UNTOLD : was.tries();
            next[k] = new Held(lines, admissionRatio, tries);
        }
        String fault = shut(part.ejected(), shut, true);
        return fault != null ? fault : shut(part.restored(), shut, false);
    }

    private String shut(List<String> words, BitSet shut, boolean out) {
        for (String word : words) {
            int host = hosts.index(word);
            if (host < 0) {
                return "host '" + word + "' was never listed";
            }
            shut.set(host, out);
        }
        return null;
    }

    /** Whether a table was ever ordered: what a proxy says when it joins. */
    public boolean isFresh() {
        for (Held h : held) {
            if (!h.lines().isEmpty()) {
                return false;
            }
        }
        return true;
    }

    // ---- picks

    private Open open(int operation, double now) {
        int version = avoidance.version(now);
        Open is = open.get(operation);
        return is != null && is.avoidance() == version ? is : reopen(operation, version);
    }

    private synchronized Open reopen(int operation, int version) {
        TreeMap<Integer, Double> lines = held[operation].lines();
        int[] all = new int[lines.size()], free = new int[lines.size()];
        double[] allWeights = new double[lines.size()], freeWeights = new double[lines.size()];
        int of = 0, among = 0;
        for (Map.Entry<Integer, Double> line : lines.entrySet()) {
            if (ejected.get(line.getKey())) {
                continue;
            }
            all[of] = line.getKey();
            allWeights[of++] = line.getValue();
            if (!avoidance.isAvoided(line.getKey())) {
                free[among] = line.getKey();
                freeWeights[among++] = line.getValue();
            }
        }
        HostSelection any = new HostSelection(all, allWeights, of);
        Open now = new Open(version, among == 0 ? any : new HostSelection(free, freeWeights, among), any);
        open.set(operation, now);
        return now;
    }

    /** A host by weight, among those that are neither shut out nor avoided; or any, if all are avoided. */
    public int pick(int operation, double now, double draw) {
        return open(operation, now).choice().pick(draw);
    }

    /** The same among those that are {@code allowed}; avoided ones where there is no other. */
    int pick(int operation, double now, double draw, IntPredicate allowed) {
        Open is = open(operation, now);
        int free = is.choice().pick(draw, allowed);
        return free != NONE ? free : is.avoidedToo().pick(draw, allowed);
    }

    /** 0 if an invocation is let in now, else ms until it is worth coming back, infinity where nobody knows. */
    double wait(int operation, double now, double draw) {
        return held[operation].admissionRatio().wait(now, draw);
    }

    RetryPolicy tries(int operation) {
        return held[operation].tries();
    }

    /** Whether a host is in a table of this operation and not shut out. */
    public synchronized boolean isOpen(int operation, int host) {
        return held[operation].lines().containsKey(host) && !ejected.get(host);
    }

    /** Whether a host is in any table and not shut out there. */
    public synchronized boolean isUsed(int host) {
        for (Held h : held) {
            if (h.lines().containsKey(host) && !ejected.get(host)) {
                return true;
            }
        }
        return false;
    }

    /** Weight by host as the table of an operation has it, shut out or not. */
    public Map<Integer, Double> lines(int operation) {
        return Map.copyOf(held[operation].lines());
    }

    /** An own try at a host ended; true if that host is avoided from now on. */
    public boolean ended(int host, boolean well, double now) {
        return avoidance.ended(host, well, now);
    }

    public List<String> operations() {
        return operations;
    }
}
