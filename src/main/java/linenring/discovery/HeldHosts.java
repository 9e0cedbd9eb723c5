package linenring.discovery;

import java.util.HashSet;
import java.util.Set;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;

/**
 * Which hosts the list that is held names, and the scope it was read under. Ids are kept under a scope alone, where a change
 * that takes a host out of it must be told from one of a host never held: the memory is that of what is in scope. A whole
 * list with spoilt entries takes nobody out, so whoever was held before it is held still. Not thread-safe.
 */
final class HeldHosts {
    private ServiceScope scope = ServiceScope.ALL;
    private Set<String> ids = new HashSet<>(); // empty where all services are in scope
    private boolean mayBeAnybody; // beside the ids: hosts stayed of a list whose ids were not kept
    private boolean holdsList;
    private long revision;

    /** Takes a list, or changes of the one that is held, which were read under the same scope. */
    void taken(HostList list) {
        revision++;
        if (list.isComplete()) {
            takenWhole(list);
        }
        if (scope.isAll()) {
            return;
        }
        for (HostList.Entry e : list.entries()) {
            if (e.state() == HostList.State.GONE) {
                ids.remove(e.host());
            } else {
                ids.add(e.host());
            }
        }
    }

    private void takenWhole(HostList list) {
        boolean othersStay = holdsList && !list.invalidEntries().isEmpty();
        mayBeAnybody = othersStay && !list.scope().isAll() && (mayBeAnybody || scope.isAll());
        if (!othersStay || list.scope().isAll()) {
            ids = new HashSet<>(); // one that was large is let go
        }
        scope = list.scope();
        holdsList = true;
    }

    ServiceScope scope() {
        return scope;
    }

    /** Whether the host is held; true too where that is not known. */
    boolean names(String host) {
        return mayBeAnybody || ids.contains(host);
    }

    /** Whether it is sure that no host is held. */
    boolean areKnownToBeNone() {
        return !scope.isAll() && !mayBeAnybody && ids.isEmpty();
    }

    /** Grows with each list that was taken. */
    long revision() {
        return revision;
    }
}
