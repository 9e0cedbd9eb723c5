package linenring.scale.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import linenring.protocol.HostList;

/**
 * The state of the catalogue without I/O: hosts, versions, and the changes that are kept for watchers that come late. All
 * methods may be called on any thread; each change gets the next version. Times are Unix ms.
 */
public final class Catalogue {
    private static final int CHANGES_KEPT = 20_000; // who asks for older ones gets the whole list

    private final CatalogueLayout layout;
    private final Map<String, CatalogueHost> hosts = new LinkedHashMap<>();
    private final ArrayDeque<CatalogueChange> changes = new ArrayDeque<>(); // oldest first
    private long version = 1;
    private int lastNumber;
    private CatalogueChange snapshot; // the whole list of the present version, where it was asked for

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
                "10." + (index >> 16 & 255) + "." + (index >> 8 & 255) + "." + (index & 255) + ":3000",
                zone,
                withinZone % layout.kinds(),
                withinZone / layout.hostsPerRack(),
                index % layout.services(),
                HostList.State.READY,
                0);
    }

    private String nextId() {
        return String.format("s-%08x", lastNumber++);
    }

    public CatalogueLayout layout() {
        return layout;
    }

    public synchronized long version() {
        return version;
    }

    /** The present hosts that fit, in the order in which they were first listed. */
    public synchronized List<CatalogueHost> hosts(Predicate<CatalogueHost> which) {
        return hosts.values().stream().filter(which).toList();
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
        if (changes.size() > CHANGES_KEPT) {
            changes.poll();
        }
        snapshot = null;
        return change;
    }

    /** These hosts drain. */
    public CatalogueChange terminate(Collection<CatalogueHost> which) {
        return put(which.stream().map(h -> h.as(HostList.State.TERMINATING)).toList());
    }

    /** These hosts are gone without a word before. */
    public CatalogueChange remove(Collection<CatalogueHost> which) {
        return put(which.stream().map(h -> h.as(HostList.State.GONE)).toList());
    }

    /** These hosts have started (again) under their own ids. */
    public CatalogueChange start(Collection<CatalogueHost> which, long now) {
        return put(which.stream().map(h -> h.startedAt(now)).toList());
    }

    /** These hosts are gone, and as many with new ids stand in their places. */
    public synchronized CatalogueChange replace(Collection<CatalogueHost> which, long now) {
        List<CatalogueHost> both = new ArrayList<>();
        for (CatalogueHost host : which) {
            both.add(host.as(HostList.State.GONE));
            both.add(host.replacedBy(nextId(), now));
        }
        return put(both);
    }

    /** Begins to count its versions anew, as a catalogue that has lost its state does. */
    public synchronized void restartVersions() {
        version = 0;
        changes.clear();
        snapshot = null;
    }

    // ---- what is told

    /** The whole list as of now. */
    public synchronized CatalogueChange snapshot() {
        if (snapshot == null) {
            snapshot = new CatalogueChange(version, true, List.copyOf(hosts.values()));
        }
        return snapshot;
    }

    /** What one who holds that version must be told to hold the present one, as one line; null where it holds it. */
    public synchronized CatalogueChange catchUp(long held) {
        if (held == version) {
            return null;
        }
        boolean kept = held < version && !changes.isEmpty() && changes.peek().version() <= held + 1;
        return kept ? merged(held) : snapshot();
    }

    /** All changes after that version as one: of each host what it is now, or that it is gone. */
    private CatalogueChange merged(long held) {
        Map<String, CatalogueHost> last = new LinkedHashMap<>();
        for (CatalogueChange change : changes) {
            if (change.version() > held) {
                change.hosts().forEach(h -> last.put(h.id(), h));
            }
        }
        return new CatalogueChange(version, false, List.copyOf(last.values()));
    }
}
