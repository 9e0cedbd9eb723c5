package linenring.protocol;

import java.util.List;
import java.util.Optional;

/**
 * The hosts of the catalogue: either a complete list, or the changes since an earlier version.
 *
 * @param version version of the catalogue after this list is applied
 * @param isComplete whether the list names all hosts of the catalogue; otherwise it holds changes
 * @param invalidEntries the entries that were skipped as invalid
 * @param scope the services by which the list was filtered while it was decoded
 * @param outsideScopeCount number of entries outside that scope
 */
public record HostList(
        long version,
        boolean isComplete,
        List<Entry> entries,
        InvalidEntries invalidEntries,
        ServiceScope scope,
        int outsideScopeCount) {
    /** Creates a list of all services without invalid entries. */
    public HostList(long version, boolean isComplete, List<Entry> entries) {
        this(version, isComplete, entries, InvalidEntries.NONE, ServiceScope.ALL, 0);
    }

    /** Creates a list of all services with one invalid entry for each reason. */
    public HostList(long version, boolean isComplete, List<Entry> entries, List<String> invalidReasons) {
        this(version, isComplete, entries, InvalidEntries.of(invalidReasons), ServiceScope.ALL, 0);
    }

    /** Returns the number of invalid entries and the first reasons as text for the log; empty if no entry was invalid. */
    public Optional<String> invalidEntriesSummary() {
        return invalidEntries.isEmpty()
                ? Optional.empty()
                : Optional.of(invalidEntries.count() + " invalid entries, which are skipped; the first: "
                        + String.join("; ", invalidEntries.firstReasons()));
    }

    /**
     * Whether hosts that are not in this list are removed. That requires a complete list without invalid entries, since a
     * skipped entry may belong to such a host.
     */
    public boolean removesUnlistedHosts() {
        return isComplete && invalidEntries.isEmpty();
    }

    /** Whether this is a complete list with hosts, none of which is in scope. */
    public boolean hasNoHostsInScope() {
        return isComplete && entries.isEmpty() && outsideScopeCount > 0;
    }

    /** The state of a host in the catalogue. */
    public enum State {
        /** The host serves requests. */
        READY,
        /** The host drains before it stops. */
        TERMINATING,
        /** The host has left the catalogue or the scope. */
        GONE
    }

    /**
     * One host of the list.
     *
     * @param zone index of the host's zone
     * @param kind index of the host's kind (machine type)
     * @param startedMs Unix time at which the host's process started; minus infinity if that was long ago
     * @param address IP:PORT at which this process reaches the host, or null if the catalogue names none
     * @param cell number of the group of hosts that share a rack with the host, or -1 if the catalogue names none
     */
    public record Entry(
            String host, int zone, int kind, State state, double weight, double startedMs, String address, int cell) {
        /** Creates an entry for a host whose address and cell the catalogue does not name. */
        public Entry(String host, int zone, int kind, State state, double weight, double startedMs) {
            this(host, zone, kind, state, weight, startedMs, null, -1);
        }

        /** Returns the entry of a host that has left the catalogue or the scope. */
        static Entry gone(String host) {
            return new Entry(host, 0, 0, State.GONE, 1, Double.NEGATIVE_INFINITY);
        }
    }
}
