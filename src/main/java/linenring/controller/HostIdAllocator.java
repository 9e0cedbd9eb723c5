package linenring.controller;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Small numbers for the hosts that the list names. A removed host keeps its number while as many removed ones as listed ones are
 * kept, so that one that returns soon is known; then its number is free for another. Not thread-safe.
 */
final class HostIds {
    /** So many removed hosts are kept in a small fleet too. */
    private static final int RETAINED_LEAST = 1024;

    static final int NONE = -1;

    private final Map<String, Integer> ids = new HashMap<>();
    private final List<String> names = new ArrayList<>(); // by id; null where the id is free
    private final TreeSet<Integer> free = new TreeSet<>();
    private final BitSet listed = new BitSet();
    private final BitSet inList = new BitSet(); // named in the list that is being read
    private final LinkedHashSet<Integer> removed = new LinkedHashSet<>(); // the longest removed first

    /** The id of a host; one that has none gets the lowest that is free. */
    int assign(String host) {
        return ids.computeIfAbsent(host, this::next);
    }

    private int next(String host) {
        Integer id = free.pollFirst();
        if (id != null) {
            names.set(id, host);
            return id;
        }
        names.add(host);
        return names.size() - 1;
    }

    /** The id of a host, or {@link #NONE}. */
    int find(String host) {
        return ids.getOrDefault(host, NONE);
    }

    String name(int id) {
        return names.get(id);
    }

    /** All ids are under this. */
    int limit() {
        return names.size();
    }

    void beginList() {
        inList.clear();
    }

    void listed(int id) {
        inList.set(id);
        listed.set(id);
        removed.remove(id);
    }

    void removed(int id) {
        listed.clear(id);
        removed.add(id);
    }

    /** Whoever the list did not name is removed. */
    void endWholeList() {
        BitSet unnamed = (BitSet) listed.clone();
        unnamed.andNot(inList);
        unnamed.stream().forEach(this::removed);
    }

    /** How many more removed hosts are kept than ought to be. */
    int surplus() {
        return Math.max(0, removed.size() - Math.max(RETAINED_LEAST, listed.cardinality()));
    }

    /** The removed hosts, the longest removed first. */
    List<Integer> removed() {
        return List.copyOf(removed);
    }

    /** Takes a removed host's id from it. */
    void release(int id) {
        removed.remove(id);
        ids.remove(names.set(id, null));
        free.add(id);
    }
}
