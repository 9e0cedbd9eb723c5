package linenring.settings;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What stands behind the indices: zones, machine kinds and operations by name, and how many proxies there are;
 * and how close together inputs are acted on, in milliseconds. Zones and kinds grow, on any thread, as hosts are
 * listed in such as the settings did not name.
 */
public record Names(List<String> zones, List<String> kinds, List<String> operations, int proxies, double quantum) {
    private static final int PLACES_MOST = 4096; // more are noise

    public Names {
        zones = new CopyOnWriteArrayList<>(zones);
        kinds = new CopyOnWriteArrayList<>(kinds);
    }

    /** The place of a word among zones or kinds; one that is new gets the next. -1 if there are too many. */
    public static int place(List<String> among, String word) {
        int at = among.indexOf(word);
        if (at >= 0) {
            return at;
        }
        synchronized (among) {
            at = among.indexOf(word);
            if (at < 0 && among.size() < PLACES_MOST) {
                at = among.size();
                among.add(word);
            }
            return at;
        }
    }
}
