package linenring.settings;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What stands behind the indices: zones, machine kinds and operations by name, and how many proxies there are. Zones and kinds
 * grow, on any thread, as hosts are listed in such as the settings did not name.
 *
 * @param quantumMs inputs that are as close together are acted on together
 */
public record Names(List<String> zones, List<String> kinds, List<String> operations, int proxyCount, double quantumMs) {
    /** More zones or kinds are a fault of the list, and must not fill the memory. */
    private static final int MAX_NAMES = 4096;

    /** Copies the zones and kinds, which grow. */
    public Names {
        zones = new CopyOnWriteArrayList<>(zones);
        kinds = new CopyOnWriteArrayList<>(kinds);
    }

    /** The index of a name among zones or kinds; a new one gets the next. -1 where there are too many. */
    public static int indexOrAdd(List<String> known, String name) {
        int index = known.indexOf(name);
        if (index >= 0) {
            return index;
        }
        synchronized (known) {
            index = known.indexOf(name);
            if (index < 0 && known.size() < MAX_NAMES) {
                index = known.size();
                known.add(name);
            }
            return index;
        }
    }
}
