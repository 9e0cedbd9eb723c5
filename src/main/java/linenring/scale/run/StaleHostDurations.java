package linenring.scale.run;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tracks how long tables hold hosts that are no longer ready, from checks a few times a second; performs no I/O. */
final class StaleHostDurations {
    private static final double SECOND_NANOS = 1e9;

    private final Map<String, Long> staleSinceNanos = new HashMap<>(); // start of the current stale period, by host
    private long longestNanos;

    /** Records the set of all hosts that are stale at {@code nowNanos}. */
    void add(Set<String> staleHosts, long nowNanos) {
        staleSinceNanos.forEach((host, start) -> longestNanos = Math.max(longestNanos, nowNanos - start));
        staleSinceNanos.keySet().retainAll(staleHosts);
        staleHosts.forEach(host -> staleSinceNanos.putIfAbsent(host, nowNanos));
    }

    /** Returns the longest uninterrupted time for which a host was stale. */
    double longestSeconds() {
        return longestNanos / SECOND_NANOS;
    }
}
