package linenring.controller;

import java.util.BitSet;
import java.util.stream.IntStream;

/** The hosts that the planner has ejected, and the hosts whose ejection has changed since updates were last sent. */
final class EjectedHosts {
    private final BitSet ejectedHosts = new BitSet();
    private final BitSet changedHosts = new BitSet();

    void setEjected(int host, boolean isEjected) {
        ejectedHosts.set(host, isEjected);
        changedHosts.set(host);
    }

    boolean isEjected(int host) {
        return ejectedHosts.get(host);
    }

    /** Returns the hosts that were ejected or restored since updates were last sent. */
    IntStream changedHosts() {
        return changedHosts.stream();
    }

    /** Marks the ejections and restorations of all hosts as sent. */
    void markPublished() {
        changedHosts.clear();
    }

    /** Clears the ejection of a removed host, because its id may be reused for another host. */
    void forget(int host) {
        ejectedHosts.clear(host);
    }
}
