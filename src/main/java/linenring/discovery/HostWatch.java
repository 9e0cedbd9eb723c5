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
 * Watches discovery's endpoint list from the current version on, and reconnects after a backoff whenever an attempt ends. Where
 * discovery moves to another address, the old address serves until the new address has sent data, and bytes that the old
 * address has written by then are read before its connection is closed; the current list and its version are kept. One
 * selector thread reads all connections; scheduler threads dial.
 */
public final class HostWatch extends SelectorManager {
    /** Limit for connecting to the agent, which runs on the same machine. */
    private static final long CONNECT_TIMEOUT_MS = 1000;

    private final WatchState state;
    private final EndpointListApplier applier;
    private final Scheduler scheduler;
    private final Log log;

    /** Creates a watch; {@link #open} starts it. */
    public HostWatch(
            WatchConfig config, Codec codec, EventQueue eventQueue, Log log, Executor executor, Scheduler scheduler) {
        super(executor, scheduler, 1);
        state = new WatchState(new EndpointSource(config.address(), config.scope(), false));
        applier = new EndpointListApplier(config, state, codec, eventQueue, log);
        this.scheduler = scheduler;
        this.log = log;
        setConnectTimeout(CONNECT_TIMEOUT_MS);
    }

    /** Starts the selector and dials the configured address. */
    public void open() throws Exception { // start() declares Exception
        start();
        dial(state.servingSource());
    }

    /**
     * Moves the watch to another address or scope of discovery. A new scope requires a complete list; until that list has
     * arrived, the current list stays in force and the old address keeps serving. Runs on the selector's thread, since pending
     * bytes of an earlier target that has not taken over yet are read before that target is abandoned.
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
        // bytes that the earlier target has written count as delivered, so they are read before it is abandoned
        state.nextConnection().ifPresent(AgentConnection::readAvailable);
        EndpointSource target = new EndpointSource(address, scope, true);
        WatchState.MoveResult move = state.moveTo(target);
        move.abandoned().flatMap(state::abandon).ifPresent(AgentConnection::close);
        String action = move.staysAtServing() ? "staying at " : "moving to ";
        log.info("discovery", action + target + (move.keepsScope() ? "" : " with scope: " + scope));
        dial(target);
    }

    WatchState state() {
        return state;
    }

    EndpointListApplier applier() {
        return applier;
    }

    /** Opens a watch at once, since the requested complete list has arrived. */
    void completeListDelivered(EndpointSource source) {
        dial(source);
    }

    /** Schedules the next attempt after the backoff, unless the source is no longer watched. */
    void attemptEnded(EndpointSource source, AttemptEnd end) {
        long delayMs;
        synchronized (state) {
            if (!state.isWatched(source)) {
                return;
            }
            source.clearConnection();
            if (end.stage() == AttemptEnd.Stage.DATA_RECEIVED) {
                source.backoff().reset();
            }
            delayMs = source.backoff().nextDelayMs();
            log.warn(
                    "discovery",
                    "attempt at " + source + " " + end + "; retrying in " + delayMs + " ms from host list version "
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
            state.setChannel(source, channel);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            if (channel.connect(source.address())) {
                accept(channel, source);
            } else {
                connect(channel, source);
            }
        } catch (IOException | RuntimeException failure) { // any failure must end only this attempt
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
            // nothing was sent on the channel, so no data is lost
        }
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
        dialFailed(channel, (EndpointSource) attachment, cause);
    }

    /** Handles the failure of a connection that was established at once, as is possible on one machine. */
    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        closeQuietly(channel);
        state.sourceUsingChannel(channel).ifPresent(source -> dialFailed(channel, source, cause));
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
