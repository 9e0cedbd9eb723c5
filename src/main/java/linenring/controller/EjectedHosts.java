package linenring.controller;

import java.util.BitSet;
import java.util.stream.IntStream;

/** The hosts that the planner has ejected, and those whose ejection has changed since the last update. */
final class EjectedHosts {
    private final BitSet ejected = new BitSet();
    private final BitSet changed = new BitSet();

    void set(int host, boolean isEjected) {
        ejected.set(host, isEjected);
        changed.set(host);
    }

    boolean contains(int host) {
        return ejected.get(host);
    }

    /** The hosts whose ejection has changed. */
    IntStream changed() {
        return changed.stream();
    }

    void markPublished() {
        changed.clear();
    }

    /** The host's id is free for another host, which is not ejected. */
    void forget(int host) {
        ejected.clear(host);
    }
}
