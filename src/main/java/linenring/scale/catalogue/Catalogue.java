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
 * The state of the catalogue without I/O: hosts, versions, and the changes that are kept for watchers that are behind. All
 * methods may be called on any thread; each change gets the next version. Times are Unix ms.
 */
public final class Catalogue {
    /** A watcher that is further behind gets the complete list. */
    private static final int MAX_KEPT_CHANGES = 20_000;

    private static final int BITS_PER_OCTET = 8;
    private static final int OCTET = 255;

    private final CatalogueLayout layout;
    private final Map<String, CatalogueHost> hosts = new LinkedHashMap<>();
    private final ArrayDeque<CatalogueChange> changes = new ArrayDeque<>(); // oldest first
    private long version = 1;
    private int lastNumber;
    private CatalogueChange snapshot; // the complete list of the current version, or null until it is asked for

    /** A catalogue with the hosts of this layout, all ready. */
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
                nextId(),
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

    private String nextId() {
        return String.format(Locale.ROOT, "s-%08x", lastNumber++);
    }

    /** How its hosts are spread. */
    public CatalogueLayout layout() {
        return layout;
    }

    /** The version of the last change. */
    public synchronized long version() {
        return version;
    }

    /** The current hosts that match, in the order in which they were first listed. */
    public synchronized List<CatalogueHost> hosts(Predicate<CatalogueHost> filter) {
        return hosts.values().stream().filter(filter).toList();
    }

    /** The ids of the hosts that are ready. */
    public synchronized Set<String> readyIds() {
        Set<String> ready = new HashSet<>();
        for (CatalogueHost host : hosts.values()) {
            if (host.isReady()) {
                ready.add(host.id());
            }
        }
        return ready;
    }

    /** The host as it is listed now, or null. */
    public synchronized CatalogueHost find(String id) {
        return hosts.get(id);
    }

    // ---- changes

    /** Lists these hosts as they are given; those that are gone leave the catalogue. */
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
        if (changes.size() > MAX_KEPT_CHANGES) {
            changes.poll();
        }
        snapshot = null;
        return change;
    }

    /** These hosts drain. */
    public CatalogueChange terminate(Collection<CatalogueHost> which) {
        return put(which.stream()
                .map(host -> host.withState(HostList.State.TERMINATING))
                .toList());
    }

    /** These hosts are gone without having drained. */
    public CatalogueChange remove(Collection<CatalogueHost> which) {
        return put(
                which.stream().map(host -> host.withState(HostList.State.GONE)).toList());
    }

    /** These hosts have started (again) under their own ids. */
    public CatalogueChange start(Collection<CatalogueHost> which, long now) {
        return put(which.stream().map(host -> host.startedAt(now)).toList());
    }

    /** These hosts are gone, and as many with new ids take their places. */
    public synchronized CatalogueChange replace(Collection<CatalogueHost> which, long now) {
        List<CatalogueHost> both = new ArrayList<>();
        for (CatalogueHost host : which) {
            both.add(host.withState(HostList.State.GONE));
            both.add(host.replacedBy(nextId(), now));
        }
        return put(both);
    }

    /** Resets its versions, as a catalogue that has lost its state does. */
    public synchronized void restartVersions() {
        version = 0;
        changes.clear();
        snapshot = null;
    }

    // ---- for watchers

    /** The complete list as of now. */
    public synchronized CatalogueChange snapshot() {
        if (snapshot == null) {
            snapshot = new CatalogueChange(version, true, List.copyOf(hosts.values()));
        }
        return snapshot;
    }

    /** What a watcher that holds a version needs for the current one, as one line; null if it holds that. */
    public synchronized CatalogueChange catchUp(long heldVersion) {
        if (heldVersion == version) {
            return null;
        }
        boolean isKept =
                heldVersion < version && !changes.isEmpty() && changes.peek().version() <= heldVersion + 1;
        return isKept ? merged(heldVersion) : snapshot();
    }

    /** All changes after that version as one: of each host what it is now, or that it is gone. */
    private CatalogueChange merged(long heldVersion) {
        Map<String, CatalogueHost> last = new LinkedHashMap<>();
        for (CatalogueChange change : changes) {
            if (change.version() > heldVersion) {
                change.hosts().forEach(host -> last.put(host.id(), host));
            }
        }
        return new CatalogueChange(version, false, List.copyOf(last.values()));
    }
}
