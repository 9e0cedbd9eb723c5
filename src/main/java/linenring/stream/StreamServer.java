package linenring.stream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.protocol.Codec;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/** Listens at the steward's one address and keeps the connections of proxies, collectors and strangers. */
public final class StreamServer extends SelectorManager {
    /** How far opening came; the server is null where it failed. */
    public record Opened(StreamServer server, Reached reached, String fault) {
        /** The steps of opening. */
        public enum Reached {
            STARTED,
            BOUND,
            LISTENING
        }
    }

    private static final int OWN_SOCKETS = 32; // what the process opens besides: files, selectors, discovery, some 20
    private static final long STRANGER_NS = TimeUnit.SECONDS.toNanos(1); // who dials says at once who it is
    /** Who is so new may have said so, and it is not read yet: others make room first. */
    private static final long NEW_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int SPARE_SOCKETS = 12; // of our own, that those who are being let go may take
    /** Proxies stand still for 2 s at times; who leaves a line without its end for longer has gone. */
    private static final long SILENT_NS = TimeUnit.SECONDS.toNanos(3);

    private static final long SWEEP_MS = 250;
    private static final int HELD_MOST = 16 << 20; // bytes of begun lines, of all connections: a third of the heap

    final EventQueue exchange;
    final Codec codec;
    final Log log;
    private final int most;
    private final Set<PeerConnection> connections = new LinkedHashSet<>(); // oldest first
    private final Scheduler clock;
    private ServerSocketChannel channel;
    private long sweptAt = System.nanoTime();
    private int held;
    private boolean closed;
    private final Set<SelectableChannel> accepting = new HashSet<>(); // accepted, and not among the connections yet

    StreamServer(Executor executor, Scheduler scheduler, int sockets, Codec codec, EventQueue exchange, Log log) {
        super(executor, scheduler, 1);
        this.clock = scheduler;
        this.most = sockets - OWN_SOCKETS;
        this.codec = codec;
        this.exchange = exchange;
        this.log = log;
    }

    /** Starts to listen; whoever connects is served from then on. */
    public static Opened open(
            InetSocketAddress at,
            int sockets,
            Codec codec,
            EventQueue exchange,
            Log log,
            Executor executor,
            Scheduler scheduler) {
        StreamServer server = new StreamServer(executor, scheduler, sockets, codec, exchange, log);
        Opened.Reached reached = Opened.Reached.STARTED;
        try {
            server.start();
            ServerSocketChannel channel = ServerSocketChannel.open();
            server.channel = channel;
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true); // at once after a restart
            channel.bind(at, sockets); // all may come at once after another steward's end
            reached = Opened.Reached.BOUND;
            channel.configureBlocking(false);
            server.acceptor(channel);
            scheduler.schedule(server::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
            return new Opened(server, Opened.Reached.LISTENING, null);
        } catch (Exception e) { // start() may throw any
            server.close();
            return new Opened(null, reached, e.getMessage());
        }
    }

    /** Frees the address and ends all connections. */
    public void close() {
        List<PeerConnection> all;
        List<SelectableChannel> halfway;
        synchronized (connections) { // from here on whoever is accepted or opened ends at once
            closed = true;
            all = List.copyOf(connections);
            halfway = List.copyOf(accepting);
            accepting.clear();
        }
        try {
            if (channel != null) {
                channel.close();
            }
            for (SelectableChannel c : halfway) {
                c.close();
            }
            all.forEach(c -> c.close("is told to dial again"));
            stop();
        } catch (Exception e) { // stop() may throw any
            log.warn("stream", "does not stop cleanly: " + e.getMessage());
        }
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        long number = exchange.nextStream(); // here they come in the order in which they were made
        synchronized (connections) {
            accepting.removeIf(c -> !c.isOpen()); // those that died on the way, whatever ended them
            if (closed || connections.size() + accepting.size() >= most + SPARE_SOCKETS) { // none could make room
                channel.close();
                return;
            }
            accepting.add(channel);
        }
        try {
            channel.configureBlocking(false);
            ((SocketChannel) channel).setOption(StandardSocketOptions.TCP_NODELAY, true);
            accept(channel, number);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        SocketChannelEndPoint endPoint =
                new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
        endPoint.setIdleTimeout(0); // silence is judged in sweep()
        return endPoint;
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        synchronized (connections) {
            accepting.remove(channel);
        }
        return new PeerConnection(endPoint, getExecutor(), this, (Long) attachment);
    }

    void opened(PeerConnection connection) {
        PeerConnection goes = null;
        boolean late;
        synchronized (connections) {
            connections.add(connection);
            late = closed;
            if (connections.size() > most) { // strangers make room for who may be a proxy
                long then = System.nanoTime() - NEW_NS;
                goes = connections.stream()
                        .filter(c -> c.isStranger() && c.isOpenSince(then))
                        .findFirst()
                        .orElse(connection);
                connections.remove(goes);
            }
        }
        if (late) {
            connection.close("is told to dial again");
        }
        if (goes != null) {
            goes.end("makes room, " + most + " connections are open", true);
        }
    }

    /** Asks for so many bytes more, or gives them back; false if that would be too much. */
    synchronized boolean mayHold(int more) {
        if (more > 0 && held + more > HELD_MOST) {
            return false;
        }
        held += more;
        return true;
    }

    void closed(PeerConnection connection) {
        synchronized (connections) {
            connections.remove(connection);
        }
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    private void sweep() {
        try {
            List<PeerConnection> all;
            synchronized (connections) {
                all = List.copyOf(connections);
            }
            long now = System.nanoTime();
            boolean stood = now - sweptAt > TimeUnit.MILLISECONDS.toNanos(2 * SWEEP_MS); // what came is not read yet
            sweptAt = now;
            int times = stood ? 2 : 1; // then everybody has twice the time
            for (PeerConnection connection : all) {
                connection.judge(now - times * STRANGER_NS, now - times * SILENT_NS);
            }
        } finally {
            if (!isClosed()) {
                clock.schedule(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private boolean isClosed() {
        synchronized (connections) {
            return closed;
        }
    }
}
