package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linenring.protocol.HostList;

/** What a steward was told of the catalogue, line by line: whether versions came once and in order, and whom they leave ready. */
public final class ListLedger {
    private static final int FAULTS_KEPT = 20;

    private final Map<String, HostList.State> hosts = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private long version = -1;
    private long changes, wholeLists, jumps, merged;

    /** Takes one line in. */
    public synchronized void listed(HostList list) {
        boolean again = list.isComplete() && list.version() == version; // a whole list may repeat the version held
        if (version >= 0 && list.version() <= version && !again) {
            fault("version " + list.version() + " after " + version);
        }
        if (list.isComplete()) {
            wholeLists++;
            hosts.clear();
        } else {
            changes++;
            jumps += list.version() == version + 1 ? 0 : 1;
            merged += Math.max(0, list.version() - version - 1);
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

    private void fault(String words) {
        if (faults.size() < FAULTS_KEPT) {
            faults.add(words);
        }
    }

    public synchronized long version() {
        return version;
    }

    /** Lines of changes. */
    public synchronized long changes() {
        return changes;
    }

    public synchronized long wholeLists() {
        return wholeLists;
    }

    /** Lines of changes that held more than one version: catch-ups. */
    public synchronized long jumps() {
        return jumps;
    }

    /** Versions that came in the line of a later one: with {@link #changes} all that there were since the whole list. */
    public synchronized long merged() {
        return merged;
    }

    public synchronized List<String> faults() {
        return List.copyOf(faults);
    }

    /** The ids of the hosts that are ready by what was told. */
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
