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

/** Keeps a watch on discovery's list from the last version on; what it is told goes to the exchange. */
public final class HostWatch extends SelectorManager {
    /** An attempt's end: how far it had come, and what ended it. */
    record Ended(Reached reached, String why) {
        /** The steps of an attempt. */
        enum Reached { DIALLED, CONNECTED, ASKED, ANSWERED, TOLD }
    }

    private static final long CONNECT_MS = 1000;   // the agent is on this machine
    private static final long REDIAL_LEAST_MS = 20;
    private static final long REDIAL_MOST_MS = 500; // what is not asked for counts as told after 6 s all the same

    final Codec codec;
    final Log log;
    private final InetSocketAddress at;
    private final Exchange exchange;
    private final Scheduler clock;
    private volatile long version;
    private volatile boolean holdsList;
    private volatile long wait = REDIAL_LEAST_MS;

    public HostWatch(InetSocketAddress at, HostList known, Codec codec, Exchange exchange, Log log,
            Executor executor, Scheduler scheduler) {
        super(executor, scheduler, 1);
        this.at = at;
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
        dial();
    }

    private void dial() {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            if (channel.connect(at)) {
                accept(channel);
            } else {
                connect(channel, null);
            }
        } catch (IOException | RuntimeException e) { // whatever it is, it ends this attempt and no more
            closeQuietly(channel);
            ended(new Ended(Ended.Reached.DIALLED, String.valueOf(e.getMessage())));
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
        ended(new Ended(Ended.Reached.DIALLED, String.valueOf(cause.getMessage())));
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        String authority = at.getAddress().getHostAddress() + ":" + at.getPort();
        return new AgentConnection(endPoint, getExecutor(), this, authority,
                holdsList ? "/catalog/members?watch=1&from=" + version : "/catalog/members", !holdsList);
    }

    /** False where it is older than what is held: then it changes nothing. */
    boolean told(HostList list) {
        if (!list.whole() && !holdsList) {
            return false;
        }
        if (list.whole() || list.version() > version) {
            version = list.version();
            holdsList = true;
            exchange.listed(list);
        }
        return true;
    }

    /** The whole list has come, as asked: go on with the watch at once. */
    void listedWhole() {
        dial();
    }

    void ended(Ended how) {
        if (how.reached() == Ended.Reached.TOLD) {
            wait = REDIAL_LEAST_MS;
        }
        log.warn("discovery", "the attempt had " + how.reached().name().toLowerCase(java.util.Locale.ROOT)
                + " and ended: " + how.why() + "; next in " + wait + " ms, from version " + version);
        clock.schedule(this::dial, wait, TimeUnit.MILLISECONDS);
        wait = Math.min(REDIAL_MOST_MS, 2 * wait);
    }
}
