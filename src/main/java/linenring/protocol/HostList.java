package linenring.protocol;

import java.util.List;
import java.util.Optional;

/**
 * The catalogue's hosts, or what has changed of them since an earlier version.
 *
 * @param version the catalogue's version that it brings its reader to
 * @param isComplete it names every host that there is; otherwise it holds changes
 * @param invalidEntries those that could not be used and were skipped
 * @param scope the services that it was filtered by while it was read
 * @param outsideScopeCount how many entries were outside of that scope
 */
public record HostList(
        long version,
        boolean isComplete,
        List<Entry> entries,
        InvalidEntries invalidEntries,
        ServiceScope scope,
        int outsideScopeCount) {
    /** A list of all services without invalid entries. */
    public HostList(long version, boolean isComplete, List<Entry> entries) {
        this(version, isComplete, entries, InvalidEntries.NONE, ServiceScope.ALL, 0);
    }

    /** A list of all services with an invalid entry for each of the reasons. */
    public HostList(long version, boolean isComplete, List<Entry> entries, List<String> invalidReasons) {
        this(version, isComplete, entries, InvalidEntries.of(invalidReasons), ServiceScope.ALL, 0);
    }

    /** How many entries were skipped as invalid and why the first ones, for the log; empty where none was. */
    public Optional<String> invalidEntriesSummary() {
        return invalidEntries.isEmpty()
                ? Optional.empty()
                : Optional.of(invalidEntries.count() + " invalid entries, which are skipped; the first: "
                        + String.join("; ", invalidEntries.firstReasons()));
    }

    /** Whether hosts that it does not name are gone: it is complete, and no entry that was skipped may be one of them. */
    public boolean removesUnnamedHosts() {
        return isComplete && invalidEntries.isEmpty();
    }

    /** Whether it lists hosts, and none of them is in its scope. */
    public boolean hasNoneInScope() {
        return isComplete && entries.isEmpty() && outsideScopeCount > 0;
    }

    /** The state of a host in its catalogue. */
    public enum State {
        /** It serves. */
        READY,
        /** It drains. */
        TERMINATING,
        /** It has left the catalogue, or the scope. */
        GONE
    }

    /**
     * One host.
     *
     * @param zone index of its zone
     * @param kind index of its machine kind
     * @param startedMs when its process started, as Unix time; minus infinity if that was long ago
     * @param address IP:PORT at which this process reaches it, or null where the catalogue names none
     * @param cell its group of hosts that share a rack, or -1 where the catalogue names none
     */
    public record Entry(
            String host, int zone, int kind, State state, double weight, double startedMs, String address, int cell) {
        /** A host whose address and group the catalogue does not name. */
        public Entry(String host, int zone, int kind, State state, double weight, double startedMs) {
            this(host, zone, kind, state, weight, startedMs, null, -1);
        }

        /** A host that has left the catalogue, or the scope. */
        static Entry gone(String host) {
            return new Entry(host, 0, 0, State.GONE, 1, Double.NEGATIVE_INFINITY);
        }
    }
}
