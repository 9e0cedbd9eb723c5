package linenring.settings;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Names of zones, machine kinds and operations, by index, and the number of proxies. Zones and kinds that the settings do not
 * name are added, on any thread, when a listed host has them.
 *
 * @param batchIntervalMs length of the interval within which inputs are handled as one batch
 */
public record Names(
        List<String> zones, List<String> kinds, List<String> operations, int proxyCount, double batchIntervalMs) {
    /** Limit on zones and on kinds, so that a faulty host list cannot exhaust the memory. */
    private static final int MAX_NAMES = 4096;

    /** Copies the zones and kinds into lists that can grow on any thread. */
    public Names {
        zones = new CopyOnWriteArrayList<>(zones);
        kinds = new CopyOnWriteArrayList<>(kinds);
    }

    /** Returns the index of a name among the zones or kinds, adding a new name at the end; -1 if there are too many names. */
    public static int indexOrAdd(List<String> names, String name) {
        int index = names.indexOf(name);
        if (index >= 0) {
            return index;
        }
        synchronized (names) {
            index = names.indexOf(name);
            if (index < 0 && names.size() < MAX_NAMES) {
                index = names.size();
                names.add(name);
            }
            return index;
        }
    }
}
