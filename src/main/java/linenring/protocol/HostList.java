package linenring.protocol;

import java.util.List;

/**
 * The list of hosts, or what has changed of it since an earlier version; what was wrong with entries left out; the scope
 * that it was read under, and how many of its entries were outside of that.
 */
public record HostList(
        long version, boolean whole, List<Entry> entries, SpoiltEntries spoilt, ServiceScope scope, int outside) {
    public HostList(long version, boolean whole, List<Entry> entries) {
        this(version, whole, entries, SpoiltEntries.NONE, ServiceScope.ALL, 0);
    }

    public HostList(long version, boolean whole, List<Entry> entries, List<String> spoilt) {
        this(version, whole, entries, SpoiltEntries.of(spoilt), ServiceScope.ALL, 0);
    }

    /** How many entries were left out and why the first, in words for the log; null where none was. */
    public String leftOut() {
        return spoilt.isEmpty()
                ? null
                : spoilt.size() + " hosts that are left out, the first: " + String.join("; ", spoilt.firstReasons());
    }

    /** Whether it lists hosts, and the scope leaves none of them. */
    public boolean hasNoneInScope() {
        return whole && entries.isEmpty() && outside > 0;
    }

    /** What a host is listed as. */
    public enum State {
        READY,
        TERMINATING,
        GONE
    }

    /**
     * One host; {@code startedMs} is Unix time, or minus infinity if that was long ago; {@code address} is IP:PORT as
     * this steward reaches it, or null; {@code cell} its small group, or -1.
     */
    public record Entry(
            String host, int zone, int kind, State state, double weight, double startedMs, String address, int cell) {
        /** One whose address and group were not told. */
        public Entry(String host, int zone, int kind, State state, double weight, double startedMs) {
            this(host, zone, kind, state, weight, startedMs, null, -1);
        }

        /** One that has left the list, or the scope. */
        static Entry gone(String host) {
            return new Entry(host, 0, 0, State.GONE, 1, Double.NEGATIVE_INFINITY);
        }
    }
}
