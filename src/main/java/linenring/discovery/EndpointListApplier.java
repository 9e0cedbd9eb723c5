package linenring.discovery;

import java.util.Optional;
import java.util.function.LongSupplier;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.protocol.HostListFilter;
import linenring.protocol.HostListStream;

/**
 * Applies the lists that discovery agents send. Complete lists and deltas that pass the version check go to the event queue. A
 * source that discovery has moved to becomes the serving source with the first usable line that it sends. Called on the
 * selector's thread; versions are guarded by the monitor of {@link WatchState}.
 */
final class EndpointListApplier {
    private static final String DELTA_WITHOUT_LIST = "a delta arrived before a complete list";

    private final WatchState state;
    private final VersionTracker versions; // @GuardedBy("state")
    private final Codec codec;
    private final EventQueue eventQueue;
    private final Log log;
    private final CapacityListener capacityListener;
    private final int maxHosts;
    private final LongSupplier nanoClock;

    EndpointListApplier(WatchConfig config, WatchState state, Codec codec, EventQueue eventQueue, Log log) {
        this.state = state;
        versions = new VersionTracker(config.initialList());
        capacityListener = config.capacityListener();
        maxHosts = config.maxHosts();
        nanoClock = config.nanoClock();
        this.codec = codec;
        this.eventQueue = eventQueue;
        this.log = log;
    }

    long nowNanos() {
        return nanoClock.getAsLong();
    }

    /** Returns the next request to send to this source. */
    ListRequest nextRequest(EndpointSource source) {
        synchronized (state) {
            return versions.requiresCompleteList(source.history())
                    ? ListRequest.completeList()
                    : ListRequest.watchFrom(versions.version());
        }
    }

    /** Version of the current list; 0 if there is none. */
    long version() {
        synchronized (state) {
            return versions.version();
        }
    }

    /** Revision of the current list, which grows with each list that is applied from any source. */
    long revision() {
        synchronized (state) {
            return versions.hosts().revision();
        }
    }

    /** Starts to decode a list under the source's scope. */
    HostListStream beginList(EndpointSource source) {
        readPendingFromServing(source); // the filter needs the current hosts to recognize removals
        return codec.hostListStream(new HostListFilter(source.scope(), this::mayContainHost, maxHosts));
    }

    private boolean mayContainHost(String host) {
        synchronized (state) {
            return versions.hosts().mayContain(host);
        }
    }

    /** Handles a blank line, which shows that the agent works and that nothing has changed. */
    void onUnchanged(EndpointSource source) throws AttemptAbortedException {
        readPendingFromServing(source);
        takeOver(source);
        requireNoRestart(source);
    }

    /**
     * Handles a complete list or a delta; {@code revisionAtStart} is the revision of the current list when decoding began. A
     * list that is older than the current one changes nothing. Where the list is unusable, the serving source does not change.
     */
    void onList(EndpointSource source, HostList list, long revisionAtStart) throws AttemptAbortedException {
        readPendingFromServing(source);
        requireUsable(source, list, revisionAtStart);
        takeOver(source);
        synchronized (state) {
            state.requireWatched(source); // discovery may have moved since takeOver()
            apply(source, list);
        }
        requireNoRestart(source);
    }

    /** Rejects a list with more hosts than the host capacity, and notifies the capacity listener if there is no earlier list. */
    AttemptAbortedException abortForTooLargeList(EndpointSource source, String sizeDescription) {
        boolean hasList;
        synchronized (state) {
            hasList = versions.hasList();
            source.backoff().recordUnusableList();
        }
        if (!hasList) {
            capacityListener.capacityExceeded("discovery lists " + sizeDescription);
        }
        return new AttemptAbortedException(
                "lists " + sizeDescription + (hasList ? "; the previous list stays in force" : ""));
    }

    /**
     * Reads the bytes that the serving source has written so far, if discovery moves to the given source, since discovery
     * counts those bytes as delivered. They are applied before a line of the new source, as if the selector had read the
     * serving source first; if they were applied later, entries of the old scope could undo a complete list of the new scope.
     * Called without a lock, because the connection acquires its own lock before the lock of the state.
     */
    private void readPendingFromServing(EndpointSource source) {
        state.servingConnectionIfNext(source).ifPresent(AgentConnection::readAvailable);
    }

    private void takeOver(EndpointSource source) throws AttemptAbortedException {
        Optional<EndpointSource> previous = state.promote(source);
        if (previous.isPresent()) {
            state.abandon(previous.get()).ifPresent(AgentConnection::close);
            log.info(
                    "discovery",
                    "moved to " + source + ", which has sent data; closing the connection to " + previous.get());
        }
    }

    /** Applies a list to the current one; called with the state locked. */
    private void apply(EndpointSource source, HostList list) throws AttemptAbortedException {
        switch (versions.applyIfNewer(list, source.history(), nowNanos())) {
            case LACKS_BASE -> throw new AttemptAbortedException(DELTA_WITHOUT_LIST);
            case IGNORED -> {
                if (list.version() < versions.version()) {
                    log.warn("discovery", describeOlderVersion(list));
                }
            }
            case APPLIED -> {
                logApplied(list);
                eventQueue.enqueueHostList(list);
            }
        }
    }

    private void logApplied(HostList list) {
        if (list.isComplete() && !list.scope().isAll()) {
            log.info(
                    "discovery",
                    "lists " + list.entries().size() + " hosts in scope and " + list.outsideScopeCount() + " outside");
        }
        list.invalidEntriesSummary().ifPresent(summary -> log.warn("invalid", "discovery lists " + summary));
    }

    private String describeOlderVersion(HostList list) {
        return "ignoring version " + list.version() + ", which is older than the current version " + versions.version();
    }

    private void requireUsable(EndpointSource source, HostList list, long revisionAtStart)
            throws AttemptAbortedException {
        synchronized (state) {
            boolean mayMissRemovals = !list.isComplete()
                    && !list.scope().isAll()
                    && revisionAtStart != versions.hosts().revision();
            if (mayMissRemovals) {
                throw new AttemptAbortedException(
                        "another list was applied while this delta was read; requesting the delta again");
            }
            Optional<VersionTracker.Rejection> rejection = versions.rejectionOf(list, source.history(), nowNanos());
            if (rejection.isPresent()) {
                throw abortForRejection(source, list, rejection.get());
            }
        }
    }

    /** Creates the exception for a rejected list; called with the state locked. */
    private AttemptAbortedException abortForRejection(
            EndpointSource source, HostList list, VersionTracker.Rejection rejection) {
        if (rejection != VersionTracker.Rejection.LACKS_BASE) {
            source.backoff().recordUnusableList();
        }
        return new AttemptAbortedException(
                switch (rejection) {
                    case LACKS_BASE -> DELTA_WITHOUT_LIST;
                    case OLDER_UNDER_OTHER_SCOPE -> describeOlderVersion(list);
                    case NO_HOSTS_IN_SCOPE ->
                        "no host in scope among the " + list.outsideScopeCount()
                                + " listed hosts; the previous list stays in force";
                });
    }

    /** Ends the attempt where the source has restarted its versions; the next attempt then requests the complete list. */
    private void requireNoRestart(EndpointSource source) throws AttemptAbortedException {
        synchronized (state) {
            if (source.history().detectRestart(nowNanos())) {
                throw new AttemptAbortedException("agent still sends older versions; requesting its complete list");
            }
        }
    }
}
