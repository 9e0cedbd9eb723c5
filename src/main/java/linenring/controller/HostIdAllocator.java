package linenring.controller;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * Assigns small integer ids to the hosts of the catalogue. A removed host keeps its id while there are no more removed than listed
 * hosts, so that a host that returns soon is recognised. Beyond that limit, ids of removed hosts are reused; otherwise the ids and
 * all state stored by id would grow with every host that was ever listed. Owned by the control loop's thread.
 */
final class HostIdAllocator {
    /** Number of removed hosts that keep their ids even if fewer hosts are listed. */
    private static final int MIN_RETAINED_HOSTS = 1024;

    private final Map<String, Integer> idsByName = new HashMap<>();
    private final List<String> namesById = new ArrayList<>(); // host name by id; null for a free id
    private final TreeSet<Integer> freeIds = new TreeSet<>();
    private final BitSet listedIds = new BitSet();
    private final BitSet idsInCurrentList = new BitSet(); // ids of the hosts in the list that is being applied
    private final LinkedHashSet<Integer> removedIds = new LinkedHashSet<>(); // ids in order of removal, oldest first

    /** Returns the id of a host, and assigns the lowest free id to a host without one. */
    int assign(String host) {
        return idsByName.computeIfAbsent(host, this::nextId);
    }

    private int nextId(String host) {
        Integer id = freeIds.pollFirst();
        if (id != null) {
            namesById.set(id, host);
            return id;
        }
        namesById.add(host);
        return namesById.size() - 1;
    }

    /** Returns the id of a host, or empty if the host has none. */
    OptionalInt findId(String host) {
        Integer id = idsByName.get(host);
        return id == null ? OptionalInt.empty() : OptionalInt.of(id);
    }

    String name(int id) {
        return namesById.get(id);
    }

    /** Returns the upper bound of all host ids, exclusive. */
    int idLimit() {
        return namesById.size();
    }

    void beginList() {
        idsInCurrentList.clear();
    }

    void markListed(int id) {
        idsInCurrentList.set(id);
        listedIds.set(id);
        removedIds.remove(id);
    }

    void markRemoved(int id) {
        listedIds.clear(id);
        removedIds.add(id);
    }

    /** Ends a complete list: marks all listed hosts that are missing from it as removed. */
    void endCompleteList() {
        BitSet unnamedIds = (BitSet) listedIds.clone();
        unnamedIds.andNot(idsInCurrentList);
        unnamedIds.stream().forEach(this::markRemoved);
    }

    /** Returns the number of removed hosts that still have ids and exceed the limit. */
    int countRemovedBeyondLimit() {
        return Math.max(0, removedIds.size() - Math.max(MIN_RETAINED_HOSTS, listedIds.cardinality()));
    }

    /** Returns the ids of removed hosts in order of removal, oldest first. */
    List<Integer> removedIds() {
        return List.copyOf(removedIds);
    }

    /** Frees the id of a removed host. */
    void release(int id) {
        removedIds.remove(id);
        idsByName.remove(namesById.set(id, null));
        freeIds.add(id);
    }
}
