package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linenring.protocol.HostList;

/**
 * Records the host lists that a controller received: whether each version was received once and in order, and which hosts are
 * ready. Thread-safe.
 */
public final class ListLedger {
    private static final int MAX_RECORDED_FAULTS = 20;

    private final Map<String, HostList.State> hosts = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private long version = -1;
    private long deltas;
    private long completeLists;
    private long mergedDeltas;
    private long mergedVersions;

    /** Records a received list. */
    public synchronized void record(HostList list) {
        // a complete list may repeat the current version
        boolean isRepeatedCompleteList = list.isComplete() && list.version() == version;
        if (version >= 0 && list.version() <= version && !isRepeatedCompleteList) {
            addFault("version " + list.version() + " received after version " + version);
        }
        if (list.isComplete()) {
            completeLists++;
            hosts.clear();
        } else {
            deltas++;
            mergedDeltas += list.version() == version + 1 ? 0 : 1;
            mergedVersions += Math.max(0, list.version() - version - 1);
        }
        version = list.version();
        for (HostList.Entry entry : list.entries()) {
            if (entry.state() == HostList.State.GONE) {
                hosts.remove(entry.host());
            } else {
                hosts.put(entry.host(), entry.state());
            }
        }
    }

    private void addFault(String message) {
        if (faults.size() < MAX_RECORDED_FAULTS) {
            faults.add(message);
        }
    }

    /** Returns the version of the last list, or -1 before the first list. */
    public synchronized long version() {
        return version;
    }

    /** Returns the number of received deltas. */
    public synchronized long deltas() {
        return deltas;
    }

    /** Returns the number of received complete lists. */
    public synchronized long completeLists() {
        return completeLists;
    }

    /** Returns the number of received deltas that covered more than one version. */
    public synchronized long mergedDeltas() {
        return mergedDeltas;
    }

    /**
     * Returns the number of versions that were received only as part of a delta to a later version. Added to {@link #deltas},
     * this is the number of all versions since the complete list.
     */
    public synchronized long mergedVersions() {
        return mergedVersions;
    }

    /** Returns descriptions of the first versions that were received twice or out of order. */
    public synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    /** Returns the ids of the hosts that are ready according to the received lists. */
    public synchronized Set<String> readyIds() {
        Set<String> ready = new HashSet<>();
        hosts.forEach((id, state) -> {
            if (state == HostList.State.READY) {
                ready.add(id);
            }
        });
        return ready;
    }
}
