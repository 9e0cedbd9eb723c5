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
 * Gives the hosts of the catalogue small numbers as ids. A removed host keeps its id while at most as many removed as listed hosts
 * have one, so that a host that returns soon is known by it; then the id is free for another host. Without this limit ids, and all
 * that is kept by id, would grow with every host that ever was. Owned by the control loop's thread.
 */
final class HostIdAllocator {
    /** The number of removed hosts that keep their ids at least, in a small fleet too. */
    private static final int MIN_RETAINED = 1024;

    private final Map<String, Integer> ids = new HashMap<>();
    private final List<String> names = new ArrayList<>(); // by id; null where the id is free
    private final TreeSet<Integer> free = new TreeSet<>();
    private final BitSet listed = new BitSet();
    private final BitSet namedInList = new BitSet(); // by the list that is being applied
    private final LinkedHashSet<Integer> removed = new LinkedHashSet<>(); // the longest removed first

    /** The id of a host; one that has none gets the lowest that is free. */
    int assign(String host) {
        return ids.computeIfAbsent(host, this::nextId);
    }

    private int nextId(String host) {
        Integer id = free.pollFirst();
        if (id != null) {
            names.set(id, host);
            return id;
        }
        names.add(host);
        return names.size() - 1;
    }

    /** The id of a host, if it has one. */
    OptionalInt find(String host) {
        Integer id = ids.get(host);
        return id == null ? OptionalInt.empty() : OptionalInt.of(id);
    }

    String name(int id) {
        return names.get(id);
    }

    /** All ids are below this number. */
    int limit() {
        return names.size();
    }

    void beginList() {
        namedInList.clear();
    }

    void markListed(int id) {
        namedInList.set(id);
        listed.set(id);
        removed.remove(id);
    }

    void markRemoved(int id) {
        listed.clear(id);
        removed.add(id);
    }

    /** The list named every host that there is: others are removed. */
    void endCompleteList() {
        BitSet unnamed = (BitSet) listed.clone();
        unnamed.andNot(namedInList);
        unnamed.stream().forEach(this::markRemoved);
    }

    /** How many removed hosts keep their ids beyond the limit. */
    int surplus() {
        return Math.max(0, removed.size() - Math.max(MIN_RETAINED, listed.cardinality()));
    }

    /** The removed hosts, the longest removed first. */
    List<Integer> removed() {
        return List.copyOf(removed);
    }

    /** Frees the id of a removed host. */
    void release(int id) {
        removed.remove(id);
        ids.remove(names.set(id, null));
        free.add(id);
    }
}
