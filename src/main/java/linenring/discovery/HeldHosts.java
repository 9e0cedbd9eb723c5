package linenring.discovery;

import java.util.HashSet;
import java.util.Set;
import linenring.message.HostList;
import linenring.message.ServiceScope;

/**
 * Which hosts the list that is held names, and the scope it was read under. Ids are kept under a scope alone, where a change
 * that takes a host out of it must be told from one of a host never held: the memory is that of what is in scope. Not
 * thread-safe.
 */
final class HeldHosts {
    private ServiceScope scope = ServiceScope.ALL;
    private Set<String> ids = Set.of(); // empty where all services are in scope
    private long revision;

    /** Takes a list, or changes of the one that is held, which were read under the same scope. */
    void taken(HostList list) {
        revision++;
        if (list.whole()) {
            scope = list.scope();
            ids = new HashSet<>();
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

    ServiceScope scope() {
        return scope;
    }

    boolean names(String host) {
        return ids.contains(host);
    }

    /** Whether it is sure that no host is held. */
    boolean areKnownToBeNone() {
        return !scope.isAll() && ids.isEmpty();
    }

    /** Grows with each list that was taken. */
    long revision() {
        return revision;
    }
}
