package linenring.controller;

import java.util.Arrays;
import java.util.BitSet;
import linenring.event.ProxyStream;
import linenring.protocol.ConfigurationUpdate;

/** One proxy: its stream, its tables, and what it was told to shut out. */
final class Proxy {
    /** What it does with a host, as far as is known. */
    static final byte OPEN = 0, SHUT = 1;
    /** An order may be lost with a stream; another steward, or an earlier life of this one, may have given it. */
    static final byte UNSURE = 2, FOREIGN = 3;

    private static final int SPARE_HOSTS = 16;

    final int id;
    final int[] bound; // table by operation, or -1 for its standing table
    final BitSet rebound = new BitSet(); // operations that were bound since the last send
    ProxyStream stream; // null while it has none
    ConfigurationUpdate next; // its message, once that is made
    private final BitSet everShut = new BitSet(); // hosts that it was ever told to shut out from here
    private boolean foreign; // others may have shut hosts out there
    private boolean forgot; // hosts were forgotten that it may shut out still
    private byte[] holds = {}; // by host

    Proxy(int id, int operations) {
        this.id = id;
        bound = new int[operations];
        Arrays.fill(bound, -1);
    }

    void joins(ProxyStream on, boolean fresh, boolean sameStream) {
        stream = on;
        foreign = forgot || !fresh && (foreign || !sameStream); // it may have been elsewhere meanwhile
        holds = new byte[0];
        everShut.stream().forEach(h -> setHolds(h, UNSURE)); // what was on its way may be lost
    }

    void leaves() {
        stream = null;
        next = null;
        Arrays.fill(bound, -1);
        rebound.clear();
    }

    boolean uses(int table) {
        return stream != null && Arrays.stream(bound).anyMatch(b -> b == table);
    }

    byte holds(int host) {
        return host < holds.length ? holds[host] : foreign ? FOREIGN : OPEN;
    }

    void setHolds(int host, byte what) {
        growTo(host + 1);
        holds[host] = what;
        if (what == SHUT) {
            everShut.set(host);
        }
    }

    private void growTo(int hosts) {
        if (hosts > holds.length) {
            int known = holds.length;
            holds = Arrays.copyOf(holds, hosts + SPARE_HOSTS);
            Arrays.fill(holds, known, holds.length, foreign ? FOREIGN : OPEN);
        }
    }

    /** Of so many hosts one is forgotten. It may return under any id, so of whoever is listed from now on nothing is known. */
    void forget(int host, int hosts) {
        growTo(hosts);
        foreign = true;
        forgot = true;
        everShut.clear(host);
        Arrays.fill(holds, hosts, holds.length, FOREIGN);
        holds[host] = FOREIGN;
    }

    /** Whether a line that lets the host back must come with its table: this steward once shut it out. */
    boolean mustBeLetBack(int host) {
        return holds(host) == SHUT || holds(host) == UNSURE;
    }
}
