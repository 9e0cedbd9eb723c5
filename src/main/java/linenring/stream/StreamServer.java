package linenring.stream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.protocol.Codec;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/** Listens at the controller's address and serves the connections of proxies and collectors. */
public final class StreamServer extends SelectorManager {
    /** Number of file descriptors reserved for purposes other than connections: files, selectors, discovery, about 20 in all. */
    private static final int RESERVED_SOCKETS = 32;

    /** Timeout of identification; peers send the identifying message as soon as they connect. */
    private static final long IDENTIFICATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Timeout of an unfinished line. Proxies may pause for 2 s; a peer that needs longer is considered dead. */
    private static final long UNFINISHED_LINE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long SWEEP_INTERVAL_MS = 250;
    private static final String SERVER_CLOSING = "server is closing; the peer may reconnect";

    private final EventQueue eventQueue;
    private final Codec codec;
    private final Log log;
    private final OpenConnections connections;
    private final LineMemoryLimit lineMemory = new LineMemoryLimit();
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private ServerSocketChannel channel; // set before accepting begins
    private long lastSweepNanos; // accessed only by the sweep, which never runs twice at the same time

    StreamServer(
            Executor executor,
            Scheduler scheduler,
            int maxSockets,
            Codec codec,
            EventQueue eventQueue,
            Log log,
            LongSupplier nanoClock) {
        super(executor, scheduler, 1);
        this.scheduler = scheduler;
        this.codec = codec;
        this.eventQueue = eventQueue;
        this.log = log;
        this.nanoClock = nanoClock;
        connections = new OpenConnections(maxSockets - RESERVED_SOCKETS);
        lastSweepNanos = nowNanos();
    }

    /** Starts listening and serving connections. {@code maxSockets} is the socket limit of the process. */
    public static StreamServer open(
            InetSocketAddress address,
            int maxSockets,
            Codec codec,
            EventQueue eventQueue,
            Log log,
            Executor executor,
            Scheduler scheduler)
            throws ListenException {
        StreamServer server =
                new StreamServer(executor, scheduler, maxSockets, codec, eventQueue, log, System::nanoTime);
        server.listen(address, maxSockets);
        return server;
    }

    private void listen(InetSocketAddress address, int backlog) throws ListenException {
        ListenException.Stage stage = ListenException.Stage.STARTED;
        try {
            start();
            channel = ServerSocketChannel.open();
            channel.setOption(
                    StandardSocketOptions.SO_REUSEADDR,
                    true); // SO_REUSEADDR lets a restarted process bind its address immediately
            channel.bind(address, backlog); // the whole fleet of a stopped controller may connect at the same time
            stage = ListenException.Stage.BOUND;
            channel.configureBlocking(false);
            acceptor(channel);
            scheduleSweep();
        } catch (Exception failure) { // start() declares Exception
            close();
            throw new ListenException(address, stage, failure);
        }
    }

    /** Releases the address and closes all connections; a second call has no effect. */
    public void close() {
        OpenConnections.Remaining remaining = connections.close();
        try {
            if (channel != null) {
                channel.close();
            }
            for (SelectableChannel accepting : remaining.accepting()) {
                accepting.close();
            }
            remaining.connections().forEach(connection -> connection.close(SERVER_CLOSING));
            stop();
        } catch (Exception failure) { // stop() declares Exception
            log.warn("stream", "server did not stop cleanly: " + failure.getMessage());
        }
    }

    @Override
    protected void accepted(SelectableChannel accepted) throws IOException {
        // the stream number is assigned here, since sockets are accepted in the order in which they connected
        long number = eventQueue.nextStreamNumber();
        if (!connections.reserve(accepted)) {
            accepted.close();
            return;
        }
        try {
            accepted.configureBlocking(false);
            ((SocketChannel) accepted).setOption(StandardSocketOptions.TCP_NODELAY, true);
            accept(accepted, number);
        } catch (IOException | RuntimeException failure) {
            accepted.close(); // closing the socket also frees its slot
            throw failure;
        }
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel accepted, ManagedSelector selector, SelectionKey key) {
        SocketChannelEndPoint endPoint =
                new SocketChannelEndPoint((SocketChannel) accepted, selector, key, getScheduler());
        endPoint.setIdleTimeout(0); // the idle timeout is disabled, since sweep() applies the timeouts
        return endPoint;
    }

    @Override
    public Connection newConnection(SelectableChannel accepted, EndPoint endPoint, Object attachment) {
        connections.release(accepted);
        return new PeerConnection(endPoint, getExecutor(), this, (Long) attachment);
    }

    void opened(PeerConnection connection) {
        Optional<PeerConnection> evicted = connections.add(connection, nowNanos());
        if (connections.isClosed()) { // close() may have missed a connection that was added meanwhile
            connection.close(SERVER_CLOSING);
        }
        evicted.ifPresent(other -> other.evict(connections.maxConnections()));
    }

    void closed(PeerConnection connection) {
        connections.remove(connection);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    EventQueue eventQueue() {
        return eventQueue;
    }

    Codec codec() {
        return codec;
    }

    Log log() {
        return log;
    }

    LineMemoryLimit lineMemory() {
        return lineMemory;
    }

    long nowNanos() {
        return nanoClock.getAsLong();
    }

    private void scheduleSweep() {
        scheduler.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes connections whose timeouts have expired. A late sweep means that the process was paused, and that bytes received
     * during the pause have not been read yet: the timeouts are doubled then, since the pause would otherwise disconnect the
     * fleet.
     */
    private void sweep() {
        try {
            long now = nowNanos();
            boolean wasPaused = now - lastSweepNanos > TimeUnit.MILLISECONDS.toNanos(2 * SWEEP_INTERVAL_MS);
            lastSweepNanos = now;
            int timeoutFactor = wasPaused ? 2 : 1;
            for (PeerConnection connection : connections.snapshot()) {
                connection.closeIfOverdue(
                        now - timeoutFactor * IDENTIFICATION_TIMEOUT_NANOS,
                        now - timeoutFactor * UNFINISHED_LINE_TIMEOUT_NANOS);
            }
        } finally {
            if (!connections.isClosed()) {
                scheduleSweep();
            }
        }
    }
}
