package linenring.discovery;

import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;

/**
 * Which of the lists that discovery tells count, by their versions. Those of one source only grow, so what is older than
 * what is held changes nothing. A source that discovery was moved to may count anew: what it tells under lower versions is
 * passed over while it may only be late, and then its whole list is asked for and taken as it is. Without I/O; times in ns.
 */
final class Versions {
    /** What becomes of a list. */
    enum Verdict {
        TAKEN,
        PASSED_OVER,
        CHANGES_OF_NOTHING
    }

    /** Why a list must not be used, before its source takes over from another. */
    enum Refusal {
        CHANGES_OF_NOTHING,
        TOO_OLD_FOR_ITS_SCOPE,
        NONE_IN_SCOPE
    }

    /** What one source has told so far. */
    static final class Told {
        private final boolean movedTo;
        private final ServiceScope scope; // what it is read under
        private boolean above, lower, anew; // it has told what we hold, or less; its whole list is asked for
        private boolean unconfirmed; // its last whole list had none in scope: changes are of a list that is not held
        private long lowerSince;

        Told(boolean movedTo, ServiceScope scope) {
            this.movedTo = movedTo;
            this.scope = scope;
        }

        Told(boolean movedTo) {
            this(movedTo, ServiceScope.ALL);
        }
    }

    /** The protocol's: what discovery has to tell counts as told so long after; who is late may be, but not for longer. */
    private static final long LATE_NS = 6_000_000_000L;

    private long version;
    private boolean held;
    private final HeldHosts hosts = new HeldHosts();

    Versions(HostList known) {
        if (known != null) {
            version = known.version();
            held = true;
            hosts.taken(known);
        }
    }

    /** The hosts of the list that is held. */
    HeldHosts hosts() {
        return hosts;
    }

    /** Whether a list is held. */
    boolean holds() {
        return held;
    }

    /** Null where the list may be used, and its source may take over; what is refused changes nothing that is held. */
    Refusal refuses(HostList list, Told source, long now) {
        if (!list.isComplete()) {
            return asksWhole(source) ? Refusal.CHANGES_OF_NOTHING : null;
        }
        if (!held || source.anew && !list.hasNoneInScope()) {
            return null;
        }
        if (isOutOfScope(source) && list.version() < version) {
            judge(list, source, now); // its versions may count anew
            countsAnew(source, now);
            return Refusal.TOO_OLD_FOR_ITS_SCOPE;
        }
        if (list.hasNoneInScope() && !hosts.areKnownToBeNone()) {
            source.unconfirmed = true;
            return Refusal.NONE_IN_SCOPE;
        }
        return null;
    }

    private boolean isOutOfScope(Told source) {
        return held && !source.scope.equals(hosts.scope());
    }

    /** The one held last; 0 where none is. */
    long version() {
        return version;
    }

    Verdict judge(HostList list, Told source, long now) {
        if (!list.isComplete() && asksWhole(source)) {
            return Verdict.CHANGES_OF_NOTHING;
        }
        // a whole list of the version that is held may name whom a spoilt one left out
        boolean counts =
                !held || list.version() > version || list.isComplete() && (list.version() == version || source.anew);
        if (counts) {
            version = list.version();
            held = true;
            source.above = true;
            source.anew = false;
            source.unconfirmed = false;
            hosts.taken(list);
            return Verdict.TAKEN;
        }
        if (list.version() < version && !source.lower) {
            source.lower = true;
            source.lowerSince = now;
        }
        return Verdict.PASSED_OVER;
    }

    /** Whether the source is past being late: then its whole list is to be asked for. */
    boolean countsAnew(Told source, long now) {
        source.anew |= source.movedTo && source.lower && !source.above && now - source.lowerSince > LATE_NS;
        return source.anew;
    }

    /** Whether the whole list is to be asked for, before any watch. */
    boolean asksWhole(Told source) {
        return !held || source.anew || source.unconfirmed || isOutOfScope(source);
    }
}
