package linenring.routing;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import linenring.protocol.HostList;

/**
 * The hosts of the endpoint lists, by index. A host keeps the index that it got when it was first listed, so that
 * endpoint tables and statistics can store indices. Writers hold this object's lock; any thread reads without a lock.
 */
public final class HostRegistry {
    private static final int NOT_LISTED = -1;

    /** One host as it was last listed; {@code address} is {@code IP:PORT}, or null if the list has no address. */
    public record Host(String id, String address, int zone, int cell, HostList.State state) {
        /** Whether requests may be sent to the host. */
        public boolean isReady() {
            return state == HostList.State.READY;
        }

        private Host asGone() {
            return new Host(id, address, zone, cell, HostList.State.GONE);
        }
    }

    private final Map<String, Integer> indexById = new ConcurrentHashMap<>();
    private volatile Host[] hosts = {}; // immutable snapshot of all hosts; an update replaces the array

    /** Applies an endpoint list or changes to it; a host that is missing from a complete list becomes GONE. */
    public synchronized void apply(HostList list) {
        Host[] next = hosts.clone();
        if (list.isComplete()) {
            Arrays.setAll(next, index -> hosts[index].asGone());
        }
        for (HostList.Entry entry : list.entries()) {
            Integer knownIndex = indexById.get(entry.host());
            int index = knownIndex == null ? next.length : knownIndex;
            if (knownIndex == null) {
                next = Arrays.copyOf(next, index + 1);
            }
            // An entry without an address keeps the address of an earlier entry.
            String address = entry.address() == null && knownIndex != null ? next[index].address() : entry.address();
            next[index] = new Host(entry.host(), address, entry.zone(), entry.cell(), entry.state());
            indexById.put(entry.host(), index);
        }
        hosts = next;
    }

    /** Returns the index of a host, or -1 if the host was never listed. */
    public int index(String id) {
        return indexById.getOrDefault(id, NOT_LISTED);
    }

    /** Returns the host with an index that {@link #index} has returned. */
    public Host host(int index) {
        return hosts[index];
    }

    /** Whether each of two hosts recognizes a duplicate of a request that the other one has executed. */
    boolean shareIdempotencyKeys(OperationPolicy.DeduplicationScope scope, int first, int second) {
        Host firstHost = hosts[first];
        Host secondHost = hosts[second];
        return switch (scope) {
            case ALL -> true;
            case ZONE -> firstHost.zone() == secondHost.zone();
            case CELL ->
                first == second
                        || (firstHost.cell() >= 0
                                && firstHost.zone() == secondHost.zone()
                                && firstHost.cell() == secondHost.cell());
        };
    }
}
