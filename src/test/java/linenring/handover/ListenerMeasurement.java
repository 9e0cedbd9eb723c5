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

/** Counts the new connections that are lost while a listener is replaced; run by hand, see docs/design/upgrade.md. */
public final class ListenerMeasurement {
    /** A method to replace a listener. */
    private enum ReplacementMethod {
        /** The old listener is closed before the new one is bound. */
        REBIND,
        /** Both listeners are bound for a moment, and the old listener's queue is lost. */
        REUSEPORT,
        /** Both listeners are bound for a moment, and the old listener's queue is emptied before it is closed. */
        REUSEPORT_EMPTIED,
        /** Both servers share one listener. */
        SHARED
    }

    private static final int HANDOVERS = 1000;
    private static final int CLIENTS = 4;
    private static final int BACKLOG = 512;
    private static final int CLIENT_TIMEOUT_MS = 5000;
    private static final long SERVING_MS = 3; // time between two replacements
    /** Below the ephemeral ports, since a client could otherwise connect to itself. */
    private static final int FIRST_PORT = 21870;

    private final ReplacementMethod method;
    private final int port;
    private final AtomicBoolean isFinished = new AtomicBoolean();
    private final AtomicInteger connections = new AtomicInteger();
    private final Map<String, Integer> lostByReason = new TreeMap<>(); // counts by reason; @GuardedBy("lost")

    private ListenerMeasurement(ReplacementMethod method, int port) {
        this.method = method;
        this.port = port;
    }

    /** Sends one byte on each connection of one listener, on a separate thread. */
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
        boolean isReused = method == ReplacementMethod.REUSEPORT || method == ReplacementMethod.REUSEPORT_EMPTIED;
        listener.setOption(StandardSocketOptions.SO_REUSEPORT, isReused);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        listener.configureBlocking(false);
        return listener;
    }

    private Server serve(ServerSocketChannel listener) {
        return new Server(listener, method == ReplacementMethod.REUSEPORT_EMPTIED);
    }

    private Server replace(Server oldServer) throws IOException, InterruptedException {
        switch (method) {
            case SHARED -> {
                oldServer.stop();
                return serve(oldServer.listener);
            }
            case REBIND -> {
                oldServer.stop();
                oldServer.listener.close();
                return serve(listen());
            }
            default -> {
                Server newServer = serve(listen());
                oldServer.stop();
                oldServer.listener.close();
                return newServer;
            }
        }
    }

    private void connectRepeatedly() {
        while (!isFinished.get()) {
            connections.incrementAndGet();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(CLIENT_TIMEOUT_MS);
                if (socket.getInputStream().read() != 1) {
                    throw new IOException("connection closed before the first byte");
                }
            } catch (IOException failure) {
                synchronized (lostByReason) {
                    lostByReason.merge(String.valueOf(failure.getMessage()), 1, Integer::sum);
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
            Thread.sleep(SERVING_MS);
            server = replace(server);
        }
        isFinished.set(true);
        for (Thread client : clients) {
            client.join();
        }
        server.stop();
        server.listener.close();
        System.out.println(method.name().toLowerCase(Locale.ROOT) + ": " + HANDOVERS + " handovers, " + connections
                + " connections, lost " + lostByReason);
    }

    /** Prints one line for each replacement method. */
    public static void main(String[] args) throws Exception {
        int port = FIRST_PORT;
        for (ReplacementMethod method : ReplacementMethod.values()) {
            new ListenerMeasurement(method, port).run();
            port++; // one port for each method, as the previous port may still be in use
        }
    }
}
