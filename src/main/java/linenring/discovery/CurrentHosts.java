package linenring.discovery;

import java.util.HashSet;
import java.util.Set;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;

/**
 * The host ids of the current list, and the scope under which the list was read. Ids are kept only under a scope that excludes
 * some services, where a delta that moves a host out of scope must be distinguished from a delta for an unknown host. So
 * memory grows only with the number of hosts in scope. A complete list with invalid entries removes no host, so the hosts of
 * the list before it remain. Not thread-safe; guarded by the monitor of {@link WatchState}.
 */
final class CurrentHosts {
    private ServiceScope scope = ServiceScope.ALL;
    private Set<String> hostIds = new HashSet<>(); // empty if all services are in scope
    private boolean mayContainOtherHosts; // hosts remain from a list whose ids were not kept
    private boolean hasList;
    private long revision;

    /** Applies a complete list, or a delta that was read under the scope of the current list. */
    void apply(HostList list) {
        revision++;
        if (list.isComplete()) {
            applyCompleteList(list);
        }
        if (scope.isAll()) {
            return;
        }
        for (HostList.Entry entry : list.entries()) {
            if (entry.state() == HostList.State.GONE) {
                hostIds.remove(entry.host());
            } else {
                hostIds.add(entry.host());
            }
        }
    }

    private void applyCompleteList(HostList list) {
        boolean keepsOtherHosts = hasList && !list.invalidEntries().isEmpty();
        mayContainOtherHosts = keepsOtherHosts && !list.scope().isAll() && (mayContainOtherHosts || scope.isAll());
        if (!keepsOtherHosts || list.scope().isAll()) {
            hostIds = new HashSet<>(); // a new set, since clear() would keep a large hash table
        }
        scope = list.scope();
        hasList = true;
    }

    ServiceScope scope() {
        return scope;
    }

    /** Whether the current list contains the host, or may contain it because its ids are not completely known. */
    boolean mayContain(String host) {
        return mayContainOtherHosts || hostIds.contains(host);
    }

    /** Whether the current list certainly has no host in scope. */
    boolean isCertainlyEmpty() {
        return !scope.isAll() && !mayContainOtherHosts && hostIds.isEmpty();
    }

    /** Number of lists that have been applied. */
    long revision() {
        return revision;
    }
}
