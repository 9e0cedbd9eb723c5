package linenring.routing;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import linenring.protocol.HostList;

/**
 * The listed hosts by index: a host keeps the index that it got when it was first listed, so that tables and statistics
 * can hold indices. One thread writes at a time; any thread reads without a lock.
 */
public final class HostRegistry {
    private static final int NOT_LISTED = -1;

    /** One host as it was last listed; {@code address} is {@code IP:PORT}, or null where none was listed. */
    public record Host(String id, String address, int zone, int cell, HostList.State state) {
        /** Whether it may be sent requests. */
        public boolean isListed() {
            return state == HostList.State.READY;
        }

        private Host asGone() {
            return new Host(id, address, zone, cell, HostList.State.GONE);
        }
    }

    private final Map<String, Integer> indexById = new ConcurrentHashMap<>();
    private volatile Host[] hosts = {}; // replaced, never changed

    /** Applies an endpoint list or its changes; a host that a complete list no longer names is gone. */
    public synchronized void apply(HostList list) {
        Host[] next = hosts.clone();
        if (list.isComplete()) {
            Arrays.setAll(next, index -> hosts[index].asGone());
        }
        for (HostList.Entry entry : list.entries()) {
            Integer known = indexById.get(entry.host());
            int index = known == null ? next.length : known;
            if (known == null) {
                next = Arrays.copyOf(next, index + 1);
            }
            // An entry without an address leaves the one that is known.
            String address = entry.address() == null && known != null ? next[index].address() : entry.address();
            next[index] = new Host(entry.host(), address, entry.zone(), entry.cell(), entry.state());
            indexById.put(entry.host(), index);
        }
        hosts = next;
    }

    /** The index of a host, or -1 if it was never listed. */
    public int index(String id) {
        return indexById.getOrDefault(id, NOT_LISTED);
    }

    /** The host with this index, which {@link #index} has returned. */
    public Host host(int index) {
        return hosts[index];
    }

    /** Whether two hosts recognise a repeat of a request that the other one has executed. */
    boolean deduplicateTogether(OperationPolicy.DeduplicationScope scope, int first, int second) {
        Host one = hosts[first];
        Host other = hosts[second];
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL ->
                first == second || (one.cell() >= 0 && one.zone() == other.zone() && one.cell() == other.cell());
        };
    }
}
