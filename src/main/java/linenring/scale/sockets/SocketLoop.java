package linenring.scale.sockets;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
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

/** An event loop: one thread that serves connections on loopback, runs tasks and calls a periodic action. */
public final class SocketLoop implements AutoCloseable {
    private static final int READ_BYTES = 256 * 1024;
    private static final int BACKLOG = 1024;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long STOP_TIMEOUT_MS = 2000;

    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final long tickMs;
    private final Runnable tick;
    private final Thread thread;
    private volatile boolean closed;

    /** Creates a loop that calls {@code tick} every {@code tickMs} milliseconds after its start. */
    public SocketLoop(String name, long tickMs, Runnable tick) throws IOException {
        this.tickMs = tickMs;
        this.tick = tick;
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Starts the loop's thread. */
    public void start() {
        thread.start();
    }

    /**
     * Runs a task on the loop's thread. While the loop runs, other threads may call only this method, the byte counters and
     * {@link #close}.
     */
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Listens on a free loopback port, with one handler for each connection. Must be called before the loop starts. */
    public InetSocketAddress listen(Supplier<SocketLink.Handler> handlers) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT, handlers);
        return (InetSocketAddress) server.getLocalAddress();
    }

    /**
     * Opens a connection; must be called on the loop's thread. A failed connect is reported to the handler as a closed
     * connection.
     */
    public SocketLink connect(InetSocketAddress address, SocketLink.Handler handler) {
        SocketChannel channel = null;
        SocketLink link;
        try {
            channel = SocketChannel.open();
            link = new SocketLink(this, channel, handler);
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean connected = channel.connect(address);
            link.setSelectionKey(
                    channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, link));
            if (connected) {
                handler.connected(link);
            }
        } catch (IOException connectionLost) {
            link = new SocketLink(this, channel, handler);
            link.close();
        }
        return link;
    }

    private void run() {
        long nextTickNanos = System.nanoTime();
        while (!closed) {
            try {
                selector.select(Math.max(1, (nextTickNanos - System.nanoTime()) / NANOS_PER_MS));
                selector.selectedKeys().forEach(this::handleReadyKey);
                selector.selectedKeys().clear();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                if (System.nanoTime() - nextTickNanos >= 0) {
                    nextTickNanos = System.nanoTime() + tickMs * NANOS_PER_MS;
                    tick.run();
                }
            } catch (IOException selectorFailure) {
                throw new UncheckedIOException(selectorFailure); // failures of single connections are handled elsewhere
            }
        }
        selector.keys().forEach(key -> closeQuietly(key.channel()));
        closeQuietly(selector);
    }

    private void handleReadyKey(SelectionKey key) {
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
                link.channel().finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                link.handler().connected(link);
            }
            if (key.isValid() && key.isReadable()) {
                receive(link);
            }
            if (key.isValid() && key.isWritable()) {
                link.flush();
            }
        } catch (IOException connectionLost) {
            link.close();
        }
    }

    private void receive(SocketLink link) throws IOException {
        readBuffer.clear();
        int count = link.channel().read(readBuffer);
        if (count < 0) {
            link.close();
            return;
        }
        bytesIn.add(count);
        link.handler().received(link, readBuffer.flip());
    }

    @SuppressWarnings("unchecked") // listen() attaches a supplier of handlers
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
            link.setSelectionKey(channel.register(selector, SelectionKey.OP_READ, link));
            handler.connected(link);
        } catch (IOException connectionLost) {
            // The peer closed the connection before it was set up, so no handler needs to be notified.
        }
    }

    static void closeQuietly(Closeable resource) {
        try {
            if (resource != null) {
                resource.close();
            }
        } catch (IOException ignored) {
            // The resource is discarded, so a failed close has no effect.
        }
    }

    /** Returns the number of bytes received over all connections. */
    public long bytesIn() {
        return bytesIn.sum();
    }

    /** Returns the number of bytes sent over all connections. */
    public long bytesOut() {
        return bytesOut.sum();
    }

    void countBytesOut(int bytes) {
        bytesOut.add(bytes);
    }

    /** Stops the loop's thread and closes all connections. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
