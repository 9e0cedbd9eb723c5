package linenring.discovery;

import java.util.Optional;
import linenring.protocol.HostList;

/**
 * Decides which endpoint lists are applied, by their versions. The versions of one source only grow, so a list that is older
 * than the held one changes nothing: an agent that lags would otherwise call back hosts that drain or are gone. A source that
 * discovery was moved to may count anew; its lower versions are ignored while they may come of a lag, and then its whole list
 * is requested and applied as it is. Without I/O; the time is handed in, in ns. Not thread-safe: guarded by the watch.
 */
final class VersionTracker {
    /** What is to be done with a list. */
    enum Verdict {
        APPLIED,
        /** Older than what is held, or the same. */
        IGNORED,
        /** Changes, where a whole list is needed first. */
        LACKS_BASE
    }

    /** Why a list must not be used, before its source takes over from another. */
    enum Refusal {
        /** Changes, where a whole list is needed first. */
        LACKS_BASE,
        /** Older than the held list, which was read under another scope. */
        OLDER_UNDER_OTHER_SCOPE,
        /** The scope leaves nobody: applied, it would leave all proxies without a host for one wrong word in the settings. */
        NONE_IN_SCOPE
    }

    private long version;
    private boolean holdsList;
    private final HeldHosts hosts = new HeldHosts();

    /** {@code known} is the list to begin with, or null. */
    VersionTracker(HostList known) {
        if (known != null) {
            version = known.version();
            holdsList = true;
            hosts.apply(known);
        }
    }

    /** The hosts of the held list. */
    HeldHosts hosts() {
        return hosts;
    }

    boolean holdsList() {
        return holdsList;
    }

    /** The held list's; 0 where there is none. */
    long version() {
        return version;
    }

    /** Empty where the list may be used, and its source may take over; what is refused changes nothing that is held. */
    Optional<Refusal> refusal(HostList list, SourceHistory source, long nowNanos) {
        if (!list.isComplete()) {
            return requiresWholeList(source) ? Optional.of(Refusal.LACKS_BASE) : Optional.empty();
        }
        if (!holdsList || (source.hasRestarted() && !list.hasNoneInScope())) {
            return Optional.empty();
        }
        if (isOfOtherScope(source) && list.version() < version) {
            judge(list, source, nowNanos); // notes the older version, as its source may have restarted
            source.judgeRestart(nowNanos);
            return Optional.of(Refusal.OLDER_UNDER_OTHER_SCOPE);
        }
        if (list.hasNoneInScope() && !hosts.areKnownToBeNone()) {
            source.listHadNoneInScope();
            return Optional.of(Refusal.NONE_IN_SCOPE);
        }
        return Optional.empty();
    }

    /** Decides on a list that was not refused; where it is applied, it is the held one from here on. */
    Verdict judge(HostList list, SourceHistory source, long nowNanos) {
        if (!list.isComplete() && requiresWholeList(source)) {
            return Verdict.LACKS_BASE;
        }
        if (isNews(list, source)) {
            version = list.version();
            holdsList = true;
            source.listWasApplied();
            hosts.apply(list);
            return Verdict.APPLIED;
        }
        if (list.version() < version) {
            source.sentOlderVersion(nowNanos);
        }
        return Verdict.IGNORED;
    }

    /** A whole list of the held version counts too: it may name a host whose entry was invalid the last time. */
    private boolean isNews(HostList list, SourceHistory source) {
        if (!holdsList || list.version() > version) {
            return true;
        }
        return list.isComplete() && (list.version() == version || source.hasRestarted());
    }

    /** Whether the whole list is to be requested, before any watch. */
    boolean requiresWholeList(SourceHistory source) {
        return !holdsList || source.hasRestarted() || source.hadNoneInScope() || isOfOtherScope(source);
    }

    private boolean isOfOtherScope(SourceHistory source) {
        return holdsList && !source.scope().equals(hosts.scope());
    }
}
