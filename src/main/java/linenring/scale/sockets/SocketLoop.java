package linenring.scale.sockets;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;

/** A thread that serves connections on loopback, runs tasks and ticks. */
public final class SocketLoop implements AutoCloseable {
    private static final int READ_BYTES = 256 * 1024;
    private static final int BACKLOG = 1024;

    /** Bytes that were received and sent over all connections. */
    public final LongAdder bytesIn = new LongAdder(), bytesOut = new LongAdder();

    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer read = ByteBuffer.allocateDirect(READ_BYTES);
    private final long tickMs;
    private final Runnable tick;
    private final Thread thread;
    private volatile boolean closed;

    /** Ticks every {@code tickMs}. */
    public SocketLoop(String name, long tickMs, Runnable tick) throws IOException {
        this.tickMs = tickMs;
        this.tick = tick;
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Runs it on the loop's thread; the only way in from other threads. */
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Listens on loopback at a free port; each connection gets a handler of its own. */
    public InetSocketAddress listen(Supplier<SocketLink.Handler> handlers) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT, handlers);
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** Dials; on the loop's thread. A dial that fails is told as the end of the connection. */
    public SocketLink connect(InetSocketAddress to, SocketLink.Handler handler) {
        SocketChannel channel = null;
        SocketLink link;
        try {
            channel = SocketChannel.open();
            link = new SocketLink(this, channel, handler);
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean connected = channel.connect(to);
            link.registered(
                    channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, link));
            if (connected) {
                handler.connected(link);
            }
        } catch (IOException e) {
            link = new SocketLink(this, channel, handler);
            link.close();
        }
        return link;
    }

    private void run() {
        long ticksAt = System.nanoTime();
        while (!closed) {
            try {
                selector.select(Math.max(1, (ticksAt - System.nanoTime()) / 1_000_000));
                selector.selectedKeys().forEach(this::serve);
                selector.selectedKeys().clear();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                if (System.nanoTime() - ticksAt >= 0) {
                    ticksAt = System.nanoTime() + tickMs * 1_000_000;
                    tick.run();
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e); // the selector itself is broken
            }
        }
        selector.keys().forEach(key -> closeQuietly(key.channel()));
        closeQuietly(selector);
    }

    private void serve(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (key.isAcceptable()) {
            accept(key);
            return;
        }
        SocketLink link = (SocketLink) key.attachment();
        try {
            if (key.isConnectable()) {
                link.channel.finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                link.handler.connected(link);
            }
            if (key.isValid() && key.isReadable()) {
                receive(link);
            }
            if (key.isValid() && key.isWritable()) {
                link.flush();
            }
        } catch (IOException e) {
            link.close();
        }
    }

    private void receive(SocketLink link) throws IOException {
        read.clear();
        int got = link.channel.read(read);
        if (got < 0) {
            link.close();
            return;
        }
        bytesIn.add(got);
        link.handler.received(link, read.flip());
    }

    @SuppressWarnings("unchecked") // what listen() attached
    private void accept(SelectionKey key) {
        try {
            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
            if (channel == null) {
                return;
            }
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SocketLink.Handler handler = ((Supplier<SocketLink.Handler>) key.attachment()).get();
            SocketLink link = new SocketLink(this, channel, handler);
            link.registered(channel.register(selector, SelectionKey.OP_READ, link));
            handler.connected(link);
        } catch (IOException e) {
            // it ended before it was served
        }
    }

    static void closeQuietly(Closeable what) {
        try {
            if (what != null) {
                what.close();
            }
        } catch (IOException e) {
            // nothing is lost with it
        }
    }

    /** Ends the thread and all connections. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
