package linenring.scale.run;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** For how long tables held hosts that were not ready any more, from readings a few times a second. Without I/O. */
final class StaleHosts {
    private static final double SECOND_NANOS = 1e9;

    private final Map<String, Long> sinceNanos = new HashMap<>(); // by host
    private long longestNanos;

    /** Adds a reading: these hosts are stale now, and no others. */
    void add(Set<String> stale, long nowNanos) {
        sinceNanos.forEach((host, start) -> longestNanos = Math.max(longestNanos, nowNanos - start));
        sinceNanos.keySet().retainAll(stale);
        stale.forEach(host -> sinceNanos.putIfAbsent(host, nowNanos));
    }

    /** The longest time of any one host. */
    double longestSeconds() {
        return longestNanos / SECOND_NANOS;
    }
}
