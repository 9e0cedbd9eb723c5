package linenring.discovery;

import java.util.concurrent.TimeUnit;
import linenring.protocol.ServiceScope;

/** What one source has sent so far, as far as it decides what is believed of it. Not thread-safe: guarded by the watch. */
final class SourceHistory {
    /** The protocol's: discovery counts what it has to deliver as known after this time, so an agent may not lag further. */
    private static final long MAX_LAG_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final boolean movedTo;
    private final ServiceScope scope;
    private boolean isUpToDate; // it has sent the version that was held, or a later one
    private boolean hasSentOlder;
    private long firstOlderAtNanos;
    private boolean hasRestarted; // it counts its versions anew
    private boolean hadNoneInScope; // its last whole list was refused for that: its changes are of a list not held

    /** {@code movedTo}: discovery was moved there while another address served. */
    SourceHistory(boolean movedTo, ServiceScope scope) {
        this.movedTo = movedTo;
        this.scope = scope;
    }

    SourceHistory(boolean movedTo) {
        this(movedTo, ServiceScope.ALL);
    }

    /** What it is read under. */
    ServiceScope scope() {
        return scope;
    }

    void listWasApplied() {
        isUpToDate = true;
        hasRestarted = false;
        hadNoneInScope = false;
    }

    void sentOlderVersion(long nowNanos) {
        if (!hasSentOlder) {
            hasSentOlder = true;
            firstOlderAtNanos = nowNanos;
        }
    }

    void listHadNoneInScope() {
        hadNoneInScope = true;
    }

    /**
     * Decides whether the source counts its versions anew: it was moved to, has only sent older versions, and has done so
     * for longer than an agent may lag. Once so it stays so, until a list of it is applied.
     */
    boolean judgeRestart(long nowNanos) {
        boolean lagsTooLong = hasSentOlder && !isUpToDate && nowNanos - firstOlderAtNanos > MAX_LAG_NANOS;
        hasRestarted |= movedTo && lagsTooLong;
        return hasRestarted;
    }

    /** As {@link #judgeRestart} has decided. */
    boolean hasRestarted() {
        return hasRestarted;
    }

    boolean hadNoneInScope() {
        return hadNoneInScope;
    }
}
