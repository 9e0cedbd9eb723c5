package linenring.routing;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import linenring.protocol.HostList;

/**
 * Hosts by index: a host keeps the index that it got when it was first listed. One thread writes at a time;
 * any thread reads without a lock.
 */
public final class HostRegistry {
    /** One host as it was last listed; {@code address} is {@code IP:PORT} or null where none was told. */
    public record Host(String id, String address, int zone, int cell, HostList.State state) {
        public boolean isListed() {
            return state == HostList.State.READY;
        }
    }

    private final Map<String, Integer> numbers = new ConcurrentHashMap<>();
    private volatile Host[] hosts = {};

    /** Takes a list or its changes in; a host that a whole list no longer names is gone. */
    public synchronized void listed(HostList list) {
        Host[] next = hosts;
        if (list.whole()) {
            next = Arrays.stream(next)
                    .map(h -> new Host(h.id(), h.address(), h.zone(), h.cell(), HostList.State.GONE))
                    .toArray(Host[]::new);
        }
        for (HostList.Entry e : list.entries()) {
            Integer known = numbers.get(e.host());
            int at = known == null ? next.length : known;
            next = at == next.length || next == hosts ? Arrays.copyOf(next, Math.max(next.length, at + 1)) : next;
            String address = e.address() == null && known != null ? next[at].address() : e.address();
            next[at] = new Host(e.host(), address, e.zone(), e.cell(), e.state());
            numbers.put(e.host(), at);
        }
        hosts = next;
    }

    /** The index of a host, or -1 if it was never listed. */
    public int index(String id) {
        return numbers.getOrDefault(id, -1);
    }

    public Host host(int index) {
        return hosts[index];
    }

    /** Whether the two remember the marks of this operation together. */
    boolean shareMarks(Limits.Group group, int a, int b) {
        Host one = hosts[a], other = hosts[b];
        return switch (group) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> a == b || one.zone() == other.zone() && one.cell() >= 0 && one.cell() == other.cell();
        };
    }
}
