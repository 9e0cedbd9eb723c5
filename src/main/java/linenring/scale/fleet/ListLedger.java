package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linenring.protocol.HostList;

/** Records the host lists that a controller received: whether versions came once and in order, and which hosts are ready. */
public final class ListLedger {
    private static final int MAX_KEPT_FAULTS = 20;

    private final Map<String, HostList.State> hosts = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private long version = -1;
    private long deltas;
    private long completeLists;
    private long catchUps;
    private long mergedVersions;

    /** Records one list. */
    public synchronized void listed(HostList list) {
        boolean again = list.isComplete() && list.version() == version; // a complete list may repeat the version held
        if (version >= 0 && list.version() <= version && !again) {
            fault("version " + list.version() + " after " + version);
        }
        if (list.isComplete()) {
            completeLists++;
            hosts.clear();
        } else {
            deltas++;
            catchUps += list.version() == version + 1 ? 0 : 1;
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

    private void fault(String message) {
        if (faults.size() < MAX_KEPT_FAULTS) {
            faults.add(message);
        }
    }

    /** The last version; -1 before the first list. */
    public synchronized long version() {
        return version;
    }

    /** How many deltas came. */
    public synchronized long deltas() {
        return deltas;
    }

    /** How many complete lists came. */
    public synchronized long completeLists() {
        return completeLists;
    }

    /** How many deltas held more than one version. */
    public synchronized long catchUps() {
        return catchUps;
    }

    /** Versions that came in the delta of a later one; with {@link #deltas} all since the complete list. */
    public synchronized long mergedVersions() {
        return mergedVersions;
    }

    /** Versions that came twice or out of order, the first few. */
    public synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    /** The ids of the hosts that are ready by the lists received. */
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
