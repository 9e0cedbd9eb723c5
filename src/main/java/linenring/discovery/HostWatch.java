package linenring.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import linenring.exchange.Exchange;
import linenring.log.Log;
import linenring.message.Codec;
import linenring.message.HostList;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Keeps a watch on discovery's list from the last version on; what it is told goes to the exchange. Where discovery
 * moves, the old address serves until the new one has told something; the list and its version go along.
 */
public final class HostWatch extends SelectorManager {
    /** An attempt's end: how far it had come, and what ended it. */
    record Ended(Reached reached, String why) {
        /** The steps of an attempt. */
        enum Reached { DIALLED, CONNECTED, ASKED, ANSWERED, TOLD }
    }

    /** One address of discovery's agent: attempts are made there, one after the other, until it is left. */
    static final class Source {
        final InetSocketAddress at;
        private long wait = REDIAL_LEAST_MS;
        private boolean left;
        private AgentConnection open;

        Source(InetSocketAddress at) {
            this.at = at;
        }

        @Override
        public String toString() {
            return at.getAddress().getHostAddress() + ":" + at.getPort();
        }
    }

    private static final long CONNECT_MS = 1000;   // the agent is on this machine
    private static final long REDIAL_LEAST_MS = 20;
    private static final long REDIAL_MOST_MS = 500; // what is not asked for counts as told after 6 s all the same

    final Codec codec;
    final Log log;
    private final Exchange exchange;
    private final Scheduler clock;
    private Source serving, next; // next: where discovery has moved to, while it has told nothing; else null
    private long version;
    private boolean holdsList;

    public HostWatch(InetSocketAddress at, HostList known, Codec codec, Exchange exchange, Log log,
            Executor executor, Scheduler scheduler) {
        super(executor, scheduler, 1);
        this.serving = new Source(at);
        this.codec = codec;
        this.exchange = exchange;
        this.log = log;
        this.clock = scheduler;
        setConnectTimeout(CONNECT_MS);
        if (known != null) {
            version = known.version();
            holdsList = true;
        }
    }

    /** Dials until it is told; never gives up. */
    public void open() throws Exception {
        start();
        dial(serving());
    }

    synchronized Source serving() {
        return serving;
    }

    /** Discovery is to be found there from now on. */
    public void moveTo(InetSocketAddress at) {
        Source to = new Source(at), given;
        synchronized (this) {
            if (next != null && next.at.equals(at)) {
                return; // under way
            }
            given = next;
            next = serving.at.equals(at) ? null : to;
        }
        leave(given);
        log.info("discovery", serving.at.equals(at) ? "stays at " + to : "moves to " + to);
        dial(to);
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

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public synchronized Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        return new AgentConnection(endPoint, getExecutor(), this, (Source) attachment,
                holdsList ? "/catalog/members?watch=1&from=" + version : "/catalog/members", !holdsList);
    }

    /** False where discovery has moved on meanwhile. */
    synchronized boolean opened(Source source, AgentConnection connection) {
        source.open = connection;
        return isMeant(source);
    }

    /** A line has come, be it a blank one; false where discovery has moved on: then it changes nothing. */
    boolean speaks(Source source) {
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

    /** False where it can't be used; what is older than what is held changes nothing. */
    synchronized boolean told(HostList list) {
        if (!list.whole() && !holdsList) {
            return false;
        }
        if (!holdsList || list.version() > version) {
            version = list.version();
            holdsList = true;
            if (list.leftOut() != null) {
                log.warn("spoilt", "discovery lists " + list.leftOut());
            }
            exchange.listed(list);
        } else if (list.version() < version) {
            log.warn("discovery", "tells version " + list.version() + ", which is older than " + version
                    + " and changes nothing");
        }
        return true;
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
                source.wait = REDIAL_LEAST_MS;
            }
            wait = source.wait;
            source.wait = Math.min(REDIAL_MOST_MS, 2 * wait);
            log.warn("discovery", "the attempt at " + source + " had "
                    + how.reached().name().toLowerCase(java.util.Locale.ROOT) + " and ended: " + how.why()
                    + "; next in " + wait + " ms, from version " + version);
        }
        clock.schedule(() -> dial(source), wait, TimeUnit.MILLISECONDS);
    }
}
