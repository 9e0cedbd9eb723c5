package linenring.scale.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import linenring.protocol.HostList;

/**
 * The state of the catalogue, without I/O: its hosts, its version, and the latest changes for watchers with an older version.
 * Thread-safe. Each change gets the next version. Times are milliseconds of Unix time.
 */
public final class Catalogue {
    /** Number of changes that are stored; a watcher that lacks an older change gets the complete list. */
    private static final int MAX_STORED_CHANGES = 20_000;

    private static final int BITS_PER_OCTET = 8;
    private static final int OCTET = 255;

    private final CatalogueLayout layout;
    private final Map<String, CatalogueHost> hosts = new LinkedHashMap<>();
    private final ArrayDeque<CatalogueChange> changes = new ArrayDeque<>(); // oldest first
    private long version = 1;
    private int nextHostNumber;
    private CatalogueChange snapshot; // complete list of the current version, or null until it is first requested

    /** Creates a catalogue with the hosts of the layout, all of them ready. */
    public Catalogue(CatalogueLayout layout) {
        this.layout = layout;
        for (int i = 0; i < layout.hosts(); i++) {
            CatalogueHost host = host(i);
            hosts.put(host.id(), host);
        }
    }

    private CatalogueHost host(int index) {
        int zone = index % layout.zones();
        int withinZone = index / layout.zones();
        return new CatalogueHost(
                newHostId(),
                address(index),
                zone,
                withinZone % layout.kinds(),
                withinZone / layout.hostsPerRack(),
                index % layout.services(),
                HostList.State.READY,
                0);
    }

    private static String address(int index) {
        int second = (index >> (2 * BITS_PER_OCTET)) & OCTET;
        int third = (index >> BITS_PER_OCTET) & OCTET;
        return "10." + second + "." + third + "." + (index & OCTET) + ":3000";
    }

    private String newHostId() {
        return String.format(Locale.ROOT, "s-%08x", nextHostNumber++);
    }

    /** Returns the layout that the catalogue was created with. */
    public CatalogueLayout layout() {
        return layout;
    }

    /** Returns the version of the latest change. */
    public synchronized long version() {
        return version;
    }

    /** Returns the listed hosts that match the filter, in the order in which they were first listed. */
    public synchronized List<CatalogueHost> hosts(Predicate<CatalogueHost> filter) {
        return hosts.values().stream().filter(filter).toList();
    }

    /** Returns the ids of the hosts that are ready. */
    public synchronized Set<String> readyIds() {
        Set<String> ready = new HashSet<>();
        for (CatalogueHost host : hosts.values()) {
            if (host.isReady()) {
                ready.add(host.id());
            }
        }
        return ready;
    }

    /** Returns the host with this id as it is listed now, or null if it is not listed. */
    public synchronized CatalogueHost find(String id) {
        return hosts.get(id);
    }

    // ---- changes of the catalogue

    /** Replaces the entries of the given hosts; hosts in the state GONE are removed from the catalogue. */
    public synchronized CatalogueChange put(Collection<CatalogueHost> changed) {
        for (CatalogueHost host : changed) {
            if (host.state() == HostList.State.GONE) {
                hosts.remove(host.id());
            } else {
                hosts.put(host.id(), host);
            }
        }
        CatalogueChange change = new CatalogueChange(++version, false, List.copyOf(changed));
        changes.add(change);
        if (changes.size() > MAX_STORED_CHANGES) {
            changes.poll();
        }
        snapshot = null;
        return change;
    }

    /** Lists the hosts as terminating, which means that they drain. */
    public CatalogueChange terminate(Collection<CatalogueHost> which) {
        return put(which.stream()
                .map(host -> host.withState(HostList.State.TERMINATING))
                .toList());
    }

    /** Removes the hosts without a drain. */
    public CatalogueChange remove(Collection<CatalogueHost> which) {
        return put(
                which.stream().map(host -> host.withState(HostList.State.GONE)).toList());
    }

    /** Lists the hosts as ready with a new start time and unchanged ids. */
    public CatalogueChange start(Collection<CatalogueHost> which, long now) {
        return put(which.stream().map(host -> host.startedAt(now)).toList());
    }

    /** Removes the hosts and adds a new host with a new id in the place of each. */
    public synchronized CatalogueChange replace(Collection<CatalogueHost> which, long now) {
        List<CatalogueHost> both = new ArrayList<>();
        for (CatalogueHost host : which) {
            both.add(host.withState(HostList.State.GONE));
            both.add(host.replacedBy(newHostId(), now));
        }
        return put(both);
    }

    /** Resets the version and drops all stored changes, like a catalogue that has lost its state. */
    public synchronized void restartVersions() {
        version = 0;
        changes.clear();
        snapshot = null;
    }

    // ---- lists for watchers

    /** Returns the complete list at the current version. */
    public synchronized CatalogueChange snapshot() {
        if (snapshot == null) {
            snapshot = new CatalogueChange(version, true, List.copyOf(hosts.values()));
        }
        return snapshot;
    }

    /**
     * Returns what updates a watcher from the version that it holds to the current one: a delta or the complete list; null if
     * it holds the current version.
     */
    public synchronized CatalogueChange catchUp(long heldVersion) {
        if (heldVersion == version) {
            return null;
        }
        boolean hasAllLaterChanges =
                heldVersion < version && !changes.isEmpty() && changes.peek().version() <= heldVersion + 1;
        return hasAllLaterChanges ? mergeChangesAfter(heldVersion) : snapshot();
    }

    /** Merges all changes after a version into one delta, which has the latest state of each changed host. */
    private CatalogueChange mergeChangesAfter(long heldVersion) {
        Map<String, CatalogueHost> last = new LinkedHashMap<>();
        for (CatalogueChange change : changes) {
            if (change.version() > heldVersion) {
                change.hosts().forEach(host -> last.put(host.id(), host));
            }
        }
        return new CatalogueChange(version, false, List.copyOf(last.values()));
    }
}
