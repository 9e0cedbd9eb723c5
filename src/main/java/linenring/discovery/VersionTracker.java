package linenring.discovery;

import java.util.Optional;
import linenring.protocol.HostList;

/**
 * Decides by version which endpoint lists are applied. The versions of one source only grow, so a list that is older than the
 * current one changes nothing: otherwise an agent that lags would restore hosts that drain or are gone. A source that discovery
 * was moved to may have restarted its versions. Lower versions of such a source are ignored while they can be explained by
 * lag; afterwards its complete list is requested and applied regardless of its version. Uses no I/O; times are passed in, in
 * ns. Not thread-safe; guarded by the monitor of {@link WatchState}.
 */
final class VersionTracker {
    /** The outcome of evaluating a list. */
    enum UpdateDecision {
        APPLIED,
        /** The list is not newer than the current list. */
        IGNORED,
        /** The list is a delta, but a complete list is needed first. */
        LACKS_BASE
    }

    /** Why a list is unusable; checked before its source takes over from another source. */
    enum Rejection {
        /** The list is a delta, but a complete list is needed first. */
        LACKS_BASE,
        /** The list is older than the current list, which was read under another scope. */
        OLDER_UNDER_OTHER_SCOPE,
        /** No host is in scope: one misspelt name in the settings would otherwise leave all proxies without a host. */
        NO_HOSTS_IN_SCOPE
    }

    private long version;
    private boolean hasList;
    private final CurrentHosts hosts = new CurrentHosts();

    /** Starts with the given list, or without a list if null. */
    VersionTracker(HostList initialList) {
        if (initialList != null) {
            version = initialList.version();
            hasList = true;
            hosts.apply(initialList);
        }
    }

    /** The hosts of the current list. */
    CurrentHosts hosts() {
        return hosts;
    }

    boolean hasList() {
        return hasList;
    }

    /** Version of the current list; 0 if there is none. */
    long version() {
        return version;
    }

    /** Returns why a list is unusable; empty if the list is usable and its source may take over. Keeps the current list. */
    Optional<Rejection> rejectionOf(HostList list, SourceHistory source, long nowNanos) {
        if (!list.isComplete()) {
            return requiresCompleteList(source) ? Optional.of(Rejection.LACKS_BASE) : Optional.empty();
        }
        if (!hasList || (source.hasRestarted() && !list.hasNoHostsInScope())) {
            return Optional.empty();
        }
        if (hasOtherScope(source) && list.version() < version) {
            applyIfNewer(list, source, nowNanos); // records the older version, which may show a restart of the source
            source.detectRestart(nowNanos);
            return Optional.of(Rejection.OLDER_UNDER_OTHER_SCOPE);
        }
        if (list.hasNoHostsInScope() && !hosts.isCertainlyEmpty()) {
            source.recordNoHostsInScope();
            return Optional.of(Rejection.NO_HOSTS_IN_SCOPE);
        }
        return Optional.empty();
    }

    /** Evaluates a list that was not rejected. A list that is applied becomes the current list. */
    UpdateDecision applyIfNewer(HostList list, SourceHistory source, long nowNanos) {
        if (!list.isComplete() && requiresCompleteList(source)) {
            return UpdateDecision.LACKS_BASE;
        }
        if (supersedesCurrentList(list, source)) {
            version = list.version();
            hasList = true;
            source.recordAppliedList();
            hosts.apply(list);
            return UpdateDecision.APPLIED;
        }
        if (list.version() < version) {
            source.recordOlderVersion(nowNanos);
        }
        return UpdateDecision.IGNORED;
    }

    /**
     * Whether the list replaces or extends the current one. A complete list of the current version does so too, as it may name
     * a host whose entry was invalid before.
     */
    private boolean supersedesCurrentList(HostList list, SourceHistory source) {
        if (!hasList || list.version() > version) {
            return true;
        }
        return list.isComplete() && (list.version() == version || source.hasRestarted());
    }

    /** Whether a complete list has to be requested before a watch. */
    boolean requiresCompleteList(SourceHistory source) {
        return !hasList || source.hasRestarted() || source.hadNoHostsInScope() || hasOtherScope(source);
    }

    private boolean hasOtherScope(SourceHistory source) {
        return hasList && !source.scope().equals(hosts.scope());
    }
}
