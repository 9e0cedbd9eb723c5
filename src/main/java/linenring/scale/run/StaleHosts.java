package linenring.scale.run;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** For how long tables held hosts that were not ready any more, as seen a few times a second. Without I/O. */
final class StaleHosts {
    private final Map<String, Long> since = new HashMap<>(); // by host, when it was first seen so
    private long longestNanos;

    /** These are held now, and no others. */
    void seen(Set<String> stale, long nowNanos) {
        since.forEach((host, at) -> longestNanos = Math.max(longestNanos, nowNanos - at));
        since.keySet().retainAll(stale);
        stale.forEach(host -> since.putIfAbsent(host, nowNanos));
    }

    /** The longest for any one host. */
    double longestSeconds() {
        return longestNanos / 1e9;
    }
}
