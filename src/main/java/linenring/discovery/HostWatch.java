package linenring.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostCapacity;
import linenring.protocol.HostList;
import linenring.protocol.HostListFilter;
import linenring.protocol.HostListStream;
import linenring.protocol.ServiceScope;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Keeps a watch on discovery's list from the last version on; what it is told goes to the exchange. Where discovery
 * moves, the old address serves until the new one has told something, and what it has written by then is read before it is
 * left; the list and its version go along. One selector's thread reads all connections.
 */
public final class HostWatch extends SelectorManager {
    static final String MOVED_ON = "discovery has moved on";
    private static final long CONNECT_MS = 1000; // the agent is on this machine
    private static final long REDIAL_MOST_MS = 500; // what is not asked for counts as told after 6 s all the same

    /** So much later a whole list is asked for again that could not be used: reading it costs more than all else here. */
    private static final long WHOLE_AGAIN_MS = 5000;

    final Log log;
    private final Codec codec;
    private final EventQueue exchange;
    private final Scheduler clock;
    private final LongSupplier nanos;
    private final Versions versions;
    private final CapacityListener capacity;
    private final int hostsMost;
    private Source serving, next; // next: where discovery has moved to, while it has told nothing; else null

    /** Under this scope; {@code known} is the list that is held, read under the same scope or another, or null. */
    public HostWatch(
            InetSocketAddress at,
            ServiceScope scope,
            HostList known,
            Codec codec,
            EventQueue exchange,
            Log log,
            Executor executor,
            Scheduler scheduler,
            CapacityListener capacity) {
        this(
                at,
                scope,
                known,
                codec,
                exchange,
                log,
                executor,
                scheduler,
                capacity,
                HostCapacity.ofThisProcess(),
                System::nanoTime);
    }

    HostWatch(
            InetSocketAddress at,
            ServiceScope scope,
            HostList known,
            Codec codec,
            EventQueue exchange,
            Log log,
            Executor executor,
            Scheduler scheduler,
            CapacityListener capacity,
            int hostsMost,
            LongSupplier nanos) {
        super(executor, scheduler, 1);
        this.nanos = nanos;
        this.versions = new Versions(known);
        this.serving = new Source(at, scope, false);
        this.capacity = capacity;
        this.hostsMost = hostsMost;
        this.codec = codec;
        this.exchange = exchange;
        this.log = log;
        this.clock = scheduler;
        setConnectTimeout(CONNECT_MS);
    }

    /** Dials until it is told; never gives up. */
    public void open() throws Exception {
        start();
        dial(serving());
    }

    synchronized Source serving() {
        return serving;
    }

    /** Where discovery has moved to, while that address has told nothing; else null. */
    synchronized Source next() {
        return next;
    }

    /**
     * Discovery is to be found there from now on, and read under this scope. Under another scope than before its whole list
     * is asked for; until that has come, what was held stays and the old address goes on to serve. It is done on the
     * selector's thread, as an address that is given up before it was heard of is read out first.
     */
    public void moveTo(InetSocketAddress at, ServiceScope scope) {
        ManagedSelector selector = isStarted() ? getBean(ManagedSelector.class) : null;
        if (selector == null) {
            moveNow(at, scope);
        } else {
            selector.submit(unused -> moveNow(at, scope));
        }
    }

    private void moveNow(InetSocketAddress at, ServiceScope scope) {
        if (isUnderWay(at, scope)) {
            return;
        }
        readNextOut();
        Source to = new Source(at, scope, true), given;
        boolean stays, sameScope;
        synchronized (this) {
            given = next;
            stays = serving.isAt(at, scope);
            sameScope = serving.scope.equals(scope);
            next = stays ? null : to;
        }
        leave(given);
        log.info("discovery", (stays ? "stays at " : "moves to ") + to + (sameScope ? "" : ", with " + scope));
        dial(to);
    }

    private synchronized boolean isUnderWay(InetSocketAddress at, ServiceScope scope) {
        return next != null && next.isAt(at, scope);
    }

    /** What an address has written counts as told, although it is about to be given up for another one. */
    private void readNextOut() {
        AgentConnection open;
        synchronized (this) {
            open = next == null ? null : next.open;
        }
        if (open != null) {
            open.readAvailable();
        }
    }

    private void leave(Source source) {
        AgentConnection open;
        synchronized (this) {
            if (source == null) {
                return;
            }
            source.left = true;
            open = source.open;
        }
        if (open != null) {
            open.getEndPoint().close();
        }
    }

    private synchronized boolean isMeant(Source source) {
        return !source.left && (source == serving || source == next);
    }

    private void dial(Source source) {
        if (!isMeant(source)) {
            return;
        }
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            synchronized (this) {
                source.dialled = channel;
            }
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            if (channel.connect(source.at)) {
                accept(channel, source);
            } else {
                connect(channel, source);
            }
        } catch (IOException | RuntimeException e) { // whatever it is, it ends this attempt and no more
            closeQuietly(channel);
            ended(source, new Ended(Ended.Reached.DIALLED, String.valueOf(e.getMessage())));
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // nothing is lost with it
        }
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
        closeQuietly((SocketChannel) channel);
        ended((Source) attachment, new Ended(Ended.Reached.DIALLED, String.valueOf(cause.getMessage())));
    }

    /** As {@link #connectionFailed}, for a dial that was through at once, as it may be on one machine. */
    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        closeQuietly((SocketChannel) channel);
        Source of;
        synchronized (this) {
            of = serving.dialled == channel ? serving : next != null && next.dialled == channel ? next : null;
        }
        if (of != null) { // else it was left meanwhile
            ended(of, new Ended(Ended.Reached.DIALLED, String.valueOf(cause.getMessage())));
        }
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public synchronized Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        Source source = (Source) attachment;
        boolean whole = versions.asksWhole(source.told);
        return new AgentConnection(
                endPoint,
                getExecutor(),
                this,
                source,
                whole ? "/catalog/members" : "/catalog/members?watch=1&from=" + versions.version(),
                whole);
    }

    /** Now, in ns of no fixed start. */
    long now() {
        return nanos.getAsLong();
    }

    /** False where discovery has moved on meanwhile. */
    synchronized boolean opened(Source source, AgentConnection connection) {
        source.open = connection;
        return isMeant(source);
    }

    /**
     * Where the source is one that discovery has moved to: reads what the address that serves has written so far, since that
     * counts as told. Read before a line of the new source is judged, it is older than that line, as it would be had the
     * selector chosen the other order; read later, entries of another scope could undo what a whole list has said. Called on
     * the selector's thread without a lock: the connection takes its own before the watch's.
     */
    private void readServingFirst(Source source) {
        AgentConnection open;
        synchronized (this) {
            if (source.left || source != next) {
                return;
            }
            open = serving.open;
        }
        if (open != null) {
            open.readAvailable();
        }
    }

    /** A blank line has come: null where the attempt goes on, or why not. */
    String toldOfNoChange(Source source) {
        readServingFirst(source);
        return speaks(source) ? asksAnew(source) : MOVED_ON;
    }

    /** A line that can be used has come, be it a blank one; false where discovery has moved on: then it changes nothing. */
    private boolean speaks(Source source) {
        Source old;
        synchronized (this) {
            if (!isMeant(source)) {
                return false;
            }
            if (source == serving) {
                return true;
            }
            old = serving;
            serving = source;
            next = null;
        }
        leave(old);
        log.info("discovery", "is watched at " + source + " and no longer at " + old);
        return true;
    }

    /** A list that is about to be read under the source's scope. */
    HostListStream reads(Source source) {
        readServingFirst(source); // what is held decides who can leave
        return codec.hostListStream(new HostListFilter(source.scope, this::holds, hostsMost));
    }

    private synchronized boolean holds(String host) {
        return versions.hosts().names(host);
    }

    /** Grows with each list that is taken, from whichever source. */
    synchronized long revision() {
        return versions.hosts().revision();
    }

    /**
     * Null where the attempt goes on, or why not; what is older than what is held changes nothing. {@code since} is the
     * revision that was held when reading began.
     */
    String told(Source source, HostList list, long since) {
        readServingFirst(source);
        String refusal = refuses(source, list, since);
        if (refusal != null) {
            return refusal; // the old address goes on to serve
        }
        if (!speaks(source)) {
            return MOVED_ON;
        }
        synchronized (this) {
            if (!isMeant(source)) { // it moved on between the two
                return MOVED_ON;
            }
            switch (versions.judge(list, source.told, now())) {
                case CHANGES_OF_NOTHING -> {
                    return "changes where no list is held";
                }
                case PASSED_OVER -> {
                    if (list.version() < versions.version()) {
                        log.warn(
                                "discovery",
                                "tells version " + list.version() + ", which is older than " + versions.version()
                                        + " and changes nothing");
                    }
                }
                case TAKEN -> {
                    if (list.isComplete() && !list.scope().isAll()) {
                        log.info(
                                "discovery",
                                "lists " + list.entries().size() + " hosts in scope and " + list.outsideScopeCount()
                                        + " outside");
                    }
                    list.invalidEntriesSummary().ifPresent(summary -> log.warn("spoilt", "discovery lists " + summary));
                    exchange.enqueueHostList(list);
                }
            }
        }
        return asksAnew(source);
    }

    private synchronized String refuses(Source source, HostList list, long since) {
        boolean mayMissOneThatLeft = !list.isComplete() && !list.scope().isAll() && since != revision();
        if (mayMissOneThatLeft) {
            return "another list came while this one was read";
        }
        Versions.Refusal refusal = versions.refuses(list, source.told, now());
        if (refusal == null) {
            return null;
        }
        source.wait = refusal == Versions.Refusal.CHANGES_OF_NOTHING ? source.wait : WHOLE_AGAIN_MS;
        return switch (refusal) {
            case CHANGES_OF_NOTHING -> "changes where no list is held";
            case TOO_OLD_FOR_ITS_SCOPE ->
                "tells version " + list.version() + ", which is older than " + versions.version()
                        + " and changes nothing";
            case NONE_IN_SCOPE ->
                "scope names none of the " + list.outsideScopeCount()
                        + " hosts listed; the list before it stays in force";
        };
    }

    /** Why the attempt ends: its list has more hosts than the memory takes. Where none is held, no other will do. */
    String tooLarge(Source source, String why) {
        boolean held;
        synchronized (this) {
            held = versions.holds();
            source.wait = WHOLE_AGAIN_MS;
        }
        if (!held) {
            capacity.exceeded("discovery lists " + why);
        }
        return "lists " + why + (held ? "; the list before it stays in force" : "");
    }

    /** Null, or why the attempt is to end and the whole list to be asked for: the source counts its versions anew. */
    synchronized String asksAnew(Source source) {
        return versions.countsAnew(source.told, now())
                ? "tells older versions still; its whole list is asked for"
                : null;
    }

    /** The whole list has come, as asked: go on with the watch at once. */
    void listedWhole(Source source) {
        dial(source);
    }

    void ended(Source source, Ended how) {
        long wait;
        synchronized (this) {
            if (!isMeant(source)) {
                return;
            }
            source.open = null;
            if (how.reached() == Ended.Reached.TOLD) {
                source.wait = Source.REDIAL_LEAST_MS;
            }
            wait = source.wait;
            source.wait = Math.min(REDIAL_MOST_MS, 2 * wait); // once more than that is waited for a whole list
            log.warn(
                    "discovery",
                    "the attempt at " + source + " had "
                            + how.reached().name().toLowerCase(java.util.Locale.ROOT) + " and ended: " + how.why()
                            + "; next in " + wait + " ms, from version " + versions.version());
        }
        clock.schedule(() -> dial(source), wait, TimeUnit.MILLISECONDS);
    }
}
