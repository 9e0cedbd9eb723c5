package linenring.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.ServiceScope;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Watches discovery's endpoint list from the held version on, and never gives up: an attempt that ends is made again after a
 * backoff. Where discovery moves, the old address serves until the new one has delivered something, and what the old one has
 * written by then is read before it is abandoned; the list and its version go along. One selector's thread reads all
 * connections; the scheduler's threads dial.
 */
public final class HostWatch extends SelectorManager {
    /** The agent is on this machine. */
    private static final long CONNECT_TIMEOUT_MS = 1000;

    private final WatchState state;
    private final EndpointListApplier applier;
    private final Scheduler scheduler;
    private final Log log;

    /** Makes a watch; {@link #open} starts it. */
    public HostWatch(
            WatchConfig config, Codec codec, EventQueue eventQueue, Log log, Executor executor, Scheduler scheduler) {
        super(executor, scheduler, 1);
        state = new WatchState(new EndpointSource(config.address(), config.scope(), false));
        applier = new EndpointListApplier(config, state, codec, eventQueue, log);
        this.scheduler = scheduler;
        this.log = log;
        setConnectTimeout(CONNECT_TIMEOUT_MS);
    }

    /** Starts to dial. */
    public void open() throws Exception { // start() declares any
        start();
        dial(state.serving());
    }

    /**
     * Discovery is to be found there from now on, and read under this scope. Under another scope than before its whole list
     * is requested; until that has come, what was held stays and the old address goes on to serve. It is done on the
     * selector's thread, as an address that is abandoned before it took over is read out first.
     */
    public void moveTo(InetSocketAddress address, ServiceScope scope) {
        ManagedSelector selector = isStarted() ? getBean(ManagedSelector.class) : null;
        if (selector == null) {
            moveNow(address, scope);
        } else {
            selector.submit(unused -> moveNow(address, scope));
        }
    }

    private void moveNow(InetSocketAddress address, ServiceScope scope) {
        if (state.isMovingTo(address, scope)) {
            return;
        }
        // discovery counts as delivered what it has written there, although the address is about to be abandoned
        state.nextConnection().ifPresent(AgentConnection::readAvailable);
        EndpointSource target = new EndpointSource(address, scope, true);
        WatchState.Move move = state.moveTo(target);
        move.abandoned().flatMap(state::abandon).ifPresent(AgentConnection::close);
        String verb = move.staysAtServing() ? "stays at " : "moves to ";
        log.info("discovery", verb + target + (move.keepsScope() ? "" : ", with " + scope));
        dial(target);
    }

    WatchState state() {
        return state;
    }

    EndpointListApplier applier() {
        return applier;
    }

    /** The whole list has come, as requested: goes on with the watch at once. */
    void wholeListDelivered(EndpointSource source) {
        dial(source);
    }

    /** An attempt has ended; the next is made after the backoff, unless discovery has moved on. */
    void attemptEnded(EndpointSource source, AttemptEnd end) {
        long delayMs;
        synchronized (state) {
            if (!state.isWatched(source)) {
                return;
            }
            source.disconnected();
            if (end.stage() == AttemptEnd.Stage.DATA_RECEIVED) {
                source.backoff().reset();
            }
            delayMs = source.backoff().nextDelayMs();
            log.warn(
                    "discovery",
                    "attempt at " + source + " " + end + "; next in " + delayMs + " ms, from host list version "
                            + applier.version());
        }
        scheduler.schedule(() -> dial(source), delayMs, TimeUnit.MILLISECONDS);
    }

    private void dial(EndpointSource source) {
        if (!state.isWatched(source)) {
            return;
        }
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            state.dialled(source, channel);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            if (channel.connect(source.address())) {
                accept(channel, source);
            } else {
                connect(channel, source);
            }
        } catch (IOException | RuntimeException failure) { // whatever it is, it must end this attempt alone
            dialFailed(channel, source, failure);
        }
    }

    private void dialFailed(SelectableChannel channel, EndpointSource source, Throwable cause) {
        closeQuietly(channel);
        attemptEnded(source, new AttemptEnd(AttemptEnd.Stage.CONNECTING, String.valueOf(cause.getMessage())));
    }

    private static void closeQuietly(SelectableChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException failure) {
            // nothing was sent on it: nothing is lost with it
        }
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
        dialFailed(channel, (EndpointSource) attachment, cause);
    }

    /** As {@link #connectionFailed}, for a connection that was made at once, as it may be on one machine. */
    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        closeQuietly(channel);
        state.dialledWith(channel).ifPresent(source -> dialFailed(channel, source, cause));
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        EndpointSource source = (EndpointSource) attachment;
        return new AgentConnection(endPoint, getExecutor(), this, source, applier.nextRequest(source));
    }
}
