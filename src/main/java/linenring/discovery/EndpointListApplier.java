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
 * Applies what discovery's agents deliver: lists and changes that count go to the event queue, and a source that discovery
 * was moved to takes over with the first thing it delivers. Called on the selector's thread; versions are guarded by the
 * monitor of the {@link WatchState}.
 */
final class EndpointListApplier {
    private static final String LACKS_BASE = "changes where no list is held";

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
        versions = new VersionTracker(config.known());
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

    /** What is to be requested of this source next. */
    ListRequest nextRequest(EndpointSource source) {
        synchronized (state) {
            return versions.requiresWholeList(source.history())
                    ? ListRequest.wholeList()
                    : ListRequest.watchFrom(versions.version());
        }
    }

    /** The held list's version; 0 where there is none. */
    long version() {
        synchronized (state) {
            return versions.version();
        }
    }

    /** Grows with each list that is applied, from whichever source. */
    long revision() {
        synchronized (state) {
            return versions.hosts().revision();
        }
    }

    /** Begins to read a list under the source's scope. */
    HostListStream beginList(EndpointSource source) {
        readServingFirst(source); // what is held decides who can leave
        return codec.hostListStream(new HostListFilter(source.scope(), this::mayHold, maxHosts));
    }

    private boolean mayHold(String host) {
        synchronized (state) {
            return versions.hosts().mayContain(host);
        }
    }

    /** A blank line has come: nothing has changed, and the agent lives. */
    void onUnchanged(EndpointSource source) throws AttemptAbortedException {
        readServingFirst(source);
        takeOver(source);
        requireNoRestart(source);
    }

    /**
     * A list has come, or changes; {@code revisionAtBegin} is the revision that was held when reading it began. What is older
     * than the held list changes nothing. Where the list cannot be used, the source that served before goes on to.
     */
    void onList(EndpointSource source, HostList list, long revisionAtBegin) throws AttemptAbortedException {
        readServingFirst(source);
        requireUsable(source, list, revisionAtBegin);
        takeOver(source);
        synchronized (state) {
            state.requireWatched(source); // discovery may have moved on between the two
            apply(source, list);
        }
        requireNoRestart(source);
    }

    /** The list has more hosts than fit the memory. Where none is held, there is nothing to go on with. */
    AttemptAbortedException listTooLarge(EndpointSource source, String what) {
        boolean holdsList;
        synchronized (state) {
            holdsList = versions.holdsList();
            source.backoff().listWasUnusable();
        }
        if (!holdsList) {
            capacityListener.exceeded("discovery lists " + what);
        }
        return new AttemptAbortedException("lists " + what + (holdsList ? "; the list before it stays in force" : ""));
    }

    /**
     * Where the source is one that discovery moves to: reads what the serving one has written so far, since discovery counts
     * that as delivered. Read before a line of the new source is judged, it is older than that line, as it would be had the
     * selector chosen the other order; read later, entries of another scope could undo what a whole list has said. Called
     * without a lock, as the connection takes its own before that of the state.
     */
    private void readServingFirst(EndpointSource source) {
        state.servingConnectionBefore(source).ifPresent(AgentConnection::readAvailable);
    }

    private void takeOver(EndpointSource source) throws AttemptAbortedException {
        Optional<EndpointSource> previous = state.promote(source);
        if (previous.isPresent()) {
            state.abandon(previous.get()).ifPresent(AgentConnection::close);
            log.info("discovery", "is watched at " + source + " and no longer at " + previous.get());
        }
    }

    /** Called with the state locked. */
    private void apply(EndpointSource source, HostList list) throws AttemptAbortedException {
        switch (versions.judge(list, source.history(), nowNanos())) {
            case LACKS_BASE -> throw new AttemptAbortedException(LACKS_BASE);
            case IGNORED -> {
                if (list.version() < versions.version()) {
                    log.warn("discovery", describeOlder(list));
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

    private String describeOlder(HostList list) {
        return "sends version " + list.version() + ", which is older than " + versions.version()
                + " and changes nothing";
    }

    private void requireUsable(EndpointSource source, HostList list, long revisionAtBegin)
            throws AttemptAbortedException {
        synchronized (state) {
            boolean mayMissAHostThatLeft = !list.isComplete()
                    && !list.scope().isAll()
                    && revisionAtBegin != versions.hosts().revision();
            if (mayMissAHostThatLeft) {
                throw new AttemptAbortedException("another list came while this one was read");
            }
            Optional<VersionTracker.Refusal> refusal = versions.refusal(list, source.history(), nowNanos());
            if (refusal.isPresent()) {
                throw refused(source, list, refusal.get());
            }
        }
    }

    /** Called with the state locked. */
    private AttemptAbortedException refused(EndpointSource source, HostList list, VersionTracker.Refusal refusal) {
        if (refusal != VersionTracker.Refusal.LACKS_BASE) {
            source.backoff().listWasUnusable();
        }
        return new AttemptAbortedException(
                switch (refusal) {
                    case LACKS_BASE -> LACKS_BASE;
                    case OLDER_UNDER_OTHER_SCOPE -> describeOlder(list);
                    case NONE_IN_SCOPE ->
                        "scope names none of the " + list.outsideScopeCount()
                                + " hosts listed; the list before it stays in force";
                });
    }

    /** Ends the attempt where the source counts its versions anew: the next one requests the whole list. */
    private void requireNoRestart(EndpointSource source) throws AttemptAbortedException {
        synchronized (state) {
            if (source.history().judgeRestart(nowNanos())) {
                throw new AttemptAbortedException("still sends older versions; its whole list is requested");
            }
        }
    }
}
