package linenring.controller;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import linenring.protocol.ConfigurationUpdate;

/** Makes one message for a proxy of what the books say has changed for it, and marks what it then knows. */
final class Messages {
    private static final int LINES_MOST = 10_000; // of a part: at some 40 bytes each it has under half a MiB

    private final FleetState fleetState;

    Messages(FleetState fleetState) {
        this.fleetState = fleetState;
    }

    /** All that was ordered since the last send and concerns this proxy, as one message. */
    ConfigurationUpdate to(Proxy p, int mark) {
        List<ConfigurationUpdate.Part> parts = new ArrayList<>();
        BitSet told = new BitSet();
        BitSet open = new BitSet();
        open.set(0, fleetState.operations.size());
        int spare = -1; // lines that the decisions reckon with and no order takes; -1: no whole table is told
        while (!open.isEmpty()) { // the operations by the table that they are on, and whether it is new to them
            int first = open.nextSetBit(0), number = p.bound[first];
            Table t = number < 0 ? null : fleetState.table(number);
            boolean whole = t != null && (p.rebound.get(first) || t.wiped);
            BitSet alike = new BitSet();
            open.stream()
                    .filter(k -> p.bound[k] == number && whole == (t != null && (p.rebound.get(k) || t.wiped)))
                    .forEach(alike::set);
            open.andNot(alike);
            int levels = tableParts(parts, t, whole, alike);
            if (whole) { // a level for each operation is reckoned with
                spare = Math.max(0, spare) + alike.cardinality() - levels;
            }
            Set<Integer> hosts = t == null ? Set.of() : whole ? t.lines.keySet() : t.changed;
            hosts.stream()
                    .filter(t == null ? h -> false : t.lines::containsKey)
                    .filter(h -> !whole || fleetState.out.get(h) || p.holds(h) != Proxy.FOREIGN)
                    .forEach(told::set);
        }
        fleetState.outChanged.stream()
                .filter(h -> !fleetState.out.get(h) || holdsLine(p, h))
                .forEach(told::set);
        List<String> ejected = say(p, told.stream().filter(fleetState.out::get).toArray(), Proxy.SHUT);
        List<String> restored =
                say(p, told.stream().filter(h -> !fleetState.out.get(h)).toArray(), Proxy.OPEN);
        if (spare < 0) {
            spare = parts.isEmpty() || !ejected.isEmpty() ? 0 : 1; // one is no burden, but to drains
        }
        restored.addAll(say(p, foreign(p).limit(spare).toArray(), Proxy.OPEN));
        // hosts and the mark go into the last part
        ConfigurationUpdate.Part e =
                parts.isEmpty() ? part(List.of(), false, List.of(), null) : parts.remove(parts.size() - 1);
        parts.add(new ConfigurationUpdate.Part(
                e.operations(), e.replacesTable(), e.entries(), e.admission(), ejected, restored, mark));
        return new ConfigurationUpdate(parts);
    }

    /** The hosts in the proxy's tables that others may have shut out there. */
    private IntStream foreign(Proxy p) {
        return fleetState.tables.entrySet().stream()
                .filter(e -> p.uses(e.getKey()))
                .flatMap(e -> e.getValue().lines.keySet().stream())
                .distinct()
                .mapToInt(h -> h)
                .filter(h -> !fleetState.out.get(h) && p.holds(h) == Proxy.FOREIGN);
    }

    /** The words for those of the hosts at which the proxy is not known to do this already; from now on it is. */
    private List<String> say(Proxy p, int[] hosts, byte what) {
        List<String> said = new ArrayList<>();
        for (int h : hosts) {
            if (p.holds(h) != what) {
                said.add(fleetState.hostIds.name(h));
                p.setHolds(h, what);
            }
        }
        return said;
    }

    private boolean holdsLine(Proxy p, int host) { // or did until now
        return Arrays.stream(p.bound)
                .anyMatch(b -> b == -1
                        || fleetState.table(b).lines.containsKey(host)
                        || fleetState.table(b).changed.contains(host));
    }

    private static ConfigurationUpdate.Part part(
            List<String> operations,
            boolean whole,
            List<ConfigurationUpdate.TableEntry> lines,
            ConfigurationUpdate.AdmissionPolicy level) {
        return new ConfigurationUpdate.Part(
                operations, whole, lines, level, List.of(), List.of(), ConfigurationUpdate.NO_NONCE);
    }

    /** Adds the parts that tell of one table; tells how many levels they have. */
    private int tableParts(List<ConfigurationUpdate.Part> parts, Table t, boolean whole, BitSet alike) {
        List<ConfigurationUpdate.TableEntry> lines = new ArrayList<>();
        for (int h : t == null ? Set.<Integer>of() : whole ? t.lines.keySet() : t.changed) {
            lines.add(new ConfigurationUpdate.TableEntry(fleetState.hostIds.name(h), t.lines.getOrDefault(h, 0.0)));
        }
        Map<ConfigurationUpdate.AdmissionPolicy, BitSet> levels = new LinkedHashMap<>(); // operations by their level
        alike.stream().filter(k -> whole || t == null || t.levelled.get(k)).forEach(k -> {
            ConfigurationUpdate.AdmissionPolicy level = t == null ? null : t.levels[k];
            if (level != null) {
                levels.computeIfAbsent(level, l -> new BitSet()).set(k);
            }
        });
        ConfigurationUpdate.AdmissionPolicy forAll =
                levels.size() == 1 && levels.values().iterator().next().equals(alike)
                        ? levels.keySet().iterator().next()
                        : null;
        for (int from = 0;
                from == 0 ? whole || !lines.isEmpty() || forAll != null : from < lines.size();
                from += LINES_MOST) {
            List<ConfigurationUpdate.TableEntry> some = lines.subList(from, Math.min(lines.size(), from + LINES_MOST));
            parts.add(part(names(alike), whole && from == 0, some, from == 0 ? forAll : null));
        }
        if (forAll == null) {
            levels.forEach((level, mask) -> parts.add(part(names(mask), false, List.of(), level)));
        }
        return levels.size();
    }

    private List<String> names(BitSet mask) {
        return mask.cardinality() == fleetState.operations.size()
                ? List.of()
                : mask.stream().mapToObj(fleetState.operations::get).toList();
    }
}
