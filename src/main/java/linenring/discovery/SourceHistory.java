package linenring.discovery;

import java.util.concurrent.TimeUnit;
import linenring.protocol.ServiceScope;

/**
 * Tracks which versions one source has sent, to detect a source that has restarted its versions. Not thread-safe; guarded by
 * the monitor of {@link WatchState}.
 */
final class SourceHistory {
    /** By the protocol, discovery assumes that a change has reached its watchers after 6 s, so no agent may lag longer. */
    private static final long MAX_LAG_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final boolean isMoveTarget;
    private final ServiceScope scope;
    private boolean hasSentCurrentVersion; // the source has sent the current version or a later one
    private boolean hasSentOlderVersion;
    private long firstOlderVersionNanos;
    private boolean hasRestarted; // the source has restarted its versions
    private boolean hadNoHostsInScope; // the last complete list was rejected for having no host in scope

    /** {@code isMoveTarget}: whether discovery was moved to this source while another source served. */
    SourceHistory(boolean isMoveTarget, ServiceScope scope) {
        this.isMoveTarget = isMoveTarget;
        this.scope = scope;
    }

    SourceHistory(boolean isMoveTarget) {
        this(isMoveTarget, ServiceScope.ALL);
    }

    /** Scope under which the lists of the source are read. */
    ServiceScope scope() {
        return scope;
    }

    void recordAppliedList() {
        hasSentCurrentVersion = true;
        hasRestarted = false;
        hadNoHostsInScope = false;
    }

    void recordOlderVersion(long nowNanos) {
        if (!hasSentOlderVersion) {
            hasSentOlderVersion = true;
            firstOlderVersionNanos = nowNanos;
        }
    }

    void recordNoHostsInScope() {
        hadNoHostsInScope = true;
    }

    /**
     * Decides whether the source has restarted its versions: discovery was moved to the source, and the source has sent only
     * older versions for longer than an agent may lag. The result stays true until a list of the source is applied.
     */
    boolean detectRestart(long nowNanos) {
        boolean lagsTooLong =
                hasSentOlderVersion && !hasSentCurrentVersion && nowNanos - firstOlderVersionNanos > MAX_LAG_NANOS;
        hasRestarted |= isMoveTarget && lagsTooLong;
        return hasRestarted;
    }

    /** Whether {@link #detectRestart} has found a restart and no list of the source has been applied since. */
    boolean hasRestarted() {
        return hasRestarted;
    }

    boolean hadNoHostsInScope() {
        return hadNoHostsInScope;
    }
}
