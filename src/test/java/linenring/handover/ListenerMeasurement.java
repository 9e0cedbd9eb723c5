package linenring.handover;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** How many new connections are lost where a listener is replaced: run by hand, see docs/design/upgrade.md. */
public final class ListenerMeasurement {
    /** The ways to replace a listener. */
    private enum Way {
        /** The old one is closed, then the new one is bound. */
        REBIND,
        /** Both are bound for a moment; the old one's queue is lost. */
        REUSEPORT,
        /** The same, with the old one's queue emptied first. */
        REUSEPORT_EMPTIED,
        /** One listener serves both. */
        SHARED
    }

    private static final int HANDOVERS = 1000;
    private static final int CLIENTS = 4;
    private static final int BACKLOG = 512;
    private static final int CLIENT_TIMEOUT_MS = 5000;
    private static final long SERVED_MS = 3; // by each listener
    /** Below the ephemeral ones, else a client may connect to itself. */
    private static final int FIRST_PORT = 21870;

    private final Way way;
    private final int port;
    private final AtomicBoolean isOver = new AtomicBoolean();
    private final AtomicInteger connections = new AtomicInteger();
    private final Map<String, Integer> lost = new TreeMap<>(); // by reason; @GuardedBy("lost")

    private ListenerMeasurement(Way way, int port) {
        this.way = way;
        this.port = port;
    }

    /** Greets each connection at one listener with one byte, on a thread of its own. */
    private static final class Server {
        private final ServerSocketChannel listener;
        private final boolean emptiesQueue;
        private final AtomicBoolean isStopped = new AtomicBoolean();
        private final Thread thread = new Thread(this::run);

        Server(ServerSocketChannel listener, boolean emptiesQueue) {
            this.listener = listener;
            this.emptiesQueue = emptiesQueue;
            thread.start();
        }

        private void run() {
            try (Selector selector = Selector.open()) {
                listener.register(selector, SelectionKey.OP_ACCEPT);
                while (!isStopped.get()) {
                    selector.select(1);
                    greetAll();
                }
                if (emptiesQueue) {
                    greetAll();
                }
            } catch (IOException failure) {
                throw new AssertionError(failure);
            }
        }

        private void greetAll() throws IOException {
            SocketChannel client = listener.accept();
            while (client != null) {
                client.write(ByteBuffer.wrap(new byte[] {1}));
                client.close();
                client = listener.accept();
            }
        }

        void stop() throws InterruptedException {
            isStopped.set(true);
            thread.join();
        }
    }

    private ServerSocketChannel listen() throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        boolean isReused = way == Way.REUSEPORT || way == Way.REUSEPORT_EMPTIED;
        listener.setOption(StandardSocketOptions.SO_REUSEPORT, isReused);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        listener.configureBlocking(false);
        return listener;
    }

    private Server serve(ServerSocketChannel listener) {
        return new Server(listener, way == Way.REUSEPORT_EMPTIED);
    }

    private Server replace(Server old) throws IOException, InterruptedException {
        switch (way) {
            case SHARED -> {
                old.stop();
                return serve(old.listener);
            }
            case REBIND -> {
                old.stop();
                old.listener.close();
                return serve(listen());
            }
            default -> {
                Server next = serve(listen());
                old.stop();
                old.listener.close();
                return next;
            }
        }
    }

    private void connectRepeatedly() {
        while (!isOver.get()) {
            connections.incrementAndGet();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(CLIENT_TIMEOUT_MS);
                if (socket.getInputStream().read() != 1) {
                    throw new IOException("ended");
                }
            } catch (IOException failure) {
                synchronized (lost) {
                    lost.merge(String.valueOf(failure.getMessage()), 1, Integer::sum);
                }
            }
        }
    }

    private void run() throws IOException, InterruptedException {
        Server server = serve(listen());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(this::connectRepeatedly);
            client.start();
            clients.add(client);
        }
        for (int handover = 0; handover < HANDOVERS; handover++) {
            Thread.sleep(SERVED_MS);
            server = replace(server);
        }
        isOver.set(true);
        for (Thread client : clients) {
            client.join();
        }
        server.stop();
        server.listener.close();
        System.out.println(way.name().toLowerCase(Locale.ROOT) + ": " + HANDOVERS + " handovers, " + connections
                + " connections, lost " + lost);
    }

    /** Prints a line for each way. */
    public static void main(String[] args) throws Exception {
        int port = FIRST_PORT;
        for (Way way : Way.values()) {
            new ListenerMeasurement(way, port).run();
            port++; // each way its own: the last one's may still be in use
        }
    }
}
