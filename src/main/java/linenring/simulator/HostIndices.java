package linenring.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Maps host names of the simulator's protocol to the consecutive indices that a planner uses. */
final class HostIndices {
    private final Map<String, Integer> indexByName = new HashMap<>();
    private final List<String> names = new ArrayList<>();

    /** Returns the index of a host; a new host gets the next free index. */
    int indexOf(String name) {
        Integer knownIndex = indexByName.putIfAbsent(name, names.size());
        if (knownIndex != null) {
            return knownIndex;
        }
        names.add(name);
        return names.size() - 1;
    }

    String name(int index) {
        return names.get(index);
    }

    void clear() {
        indexByName.clear();
        names.clear();
    }
}
