package linenring.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The small indices by which a planner knows the hosts that the wire names. */
final class HostNumbers {
    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<String> names = new ArrayList<>();

    /** The index of a host; one that is new gets the next. */
    int number(String name) {
        Integer known = numbers.putIfAbsent(name, names.size());
        if (known != null) {
            return known;
        }
        names.add(name);
        return names.size() - 1;
    }

    String name(int number) {
        return names.get(number);
    }

    void clear() {
        numbers.clear();
        names.clear();
    }
}
