package linenring.controller;

import java.util.BitSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.protocol.ConfigurationUpdate;

/** One shared table: what stands in it, and what has changed since the last send. */
final class Table {
    final TreeMap<Integer, Double> lines = new TreeMap<>(); // weight by host
    final ConfigurationUpdate.AdmissionPolicy[] levels; // by operation; null where none is set
    final Set<Integer> changed = new TreeSet<>(); // hosts whose lines changed
    final BitSet levelled = new BitSet(); // operations whose level changed
    boolean wiped;

    Table(int operations) {
        levels = new ConfigurationUpdate.AdmissionPolicy[operations];
    }

    void sent() {
        changed.clear();
        levelled.clear();
        wiped = false;
    }
}
