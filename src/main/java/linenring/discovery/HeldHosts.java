package linenring.discovery;

import java.util.HashSet;
import java.util.Set;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;

/**
 * Which hosts the held list names, and the scope it was read under. Ids are kept under a scope alone, where a change that
 * takes a host out of it must be distinguished from one of a host never held: the memory is that of what is in scope. A whole
 * list with invalid entries removes nobody, so whoever was held before it is held still. Not thread-safe: guarded by the
 * watch.
 */
final class HeldHosts {
    private ServiceScope scope = ServiceScope.ALL;
    private Set<String> ids = new HashSet<>(); // empty where all services are in scope
    private boolean mayBeAnybody; // beside the ids: hosts stayed of a list whose ids were not kept
    private boolean holdsList;
    private long revision;

    /** Applies a list, or changes of the held one, which were read under the same scope. */
    void apply(HostList list) {
        revision++;
        if (list.isComplete()) {
            applyWhole(list);
        }
        if (scope.isAll()) {
            return;
        }
        for (HostList.Entry entry : list.entries()) {
            if (entry.state() == HostList.State.GONE) {
                ids.remove(entry.host());
            } else {
                ids.add(entry.host());
            }
        }
    }

    private void applyWhole(HostList list) {
        boolean othersStay = holdsList && !list.invalidEntries().isEmpty();
        mayBeAnybody = othersStay && !list.scope().isAll() && (mayBeAnybody || scope.isAll());
        if (!othersStay || list.scope().isAll()) {
            ids = new HashSet<>(); // in place of clear(), which would keep a large table
        }
        scope = list.scope();
        holdsList = true;
    }

    ServiceScope scope() {
        return scope;
    }

    /** Whether the host is held; true too where that is not known. */
    boolean mayContain(String host) {
        return mayBeAnybody || ids.contains(host);
    }

    /** Whether it is certain that no host is held. */
    boolean areKnownToBeNone() {
        return !scope.isAll() && !mayBeAnybody && ids.isEmpty();
    }

    /** Grows with each list that is applied. */
    long revision() {
        return revision;
    }
}
