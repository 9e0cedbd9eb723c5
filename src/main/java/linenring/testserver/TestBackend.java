package linenring.testserver;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;

/**
 * A test backend: a host that speaks HTTP/2 with prior knowledge on loopback, reacts to requests as it was set up to, and counts
 * what it executed. Reactions to the next requests go first, then those to their path; else it
 * answers. Any thread may call it.
 */
public final class TestBackend implements AutoCloseable {
    private static final int ACCEPT_QUEUE_CONNECTIONS = 512;
    private static final int DEFAULT_MAX_STREAMS = 100;

    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool(daemonThreads());
    private final Set<BackendConnection> connections = ConcurrentHashMap.newKeySet();
    private final ArrayDeque<Reaction> nextReactions = new ArrayDeque<>(); // guarded by itself
    private final Map<String, Reaction> reactionsByPrefix = new ConcurrentHashMap<>();
    private final BackendStatistics statistics = new BackendStatistics();
    private volatile int maxStreams = DEFAULT_MAX_STREAMS;
    private volatile CountDownLatch mayGreet = new CountDownLatch(0);

    /** At any free port. */
    public TestBackend() throws IOException {
        this(0);
    }

    /** At this port. */
    public TestBackend(int port) throws IOException {
        server = new ServerSocket(port, ACCEPT_QUEUE_CONNECTIONS, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    private static ThreadFactory daemonThreads() {
        return task -> {
            Thread thread = new Thread(task, "test-backend");
            thread.setDaemon(true);
            return thread;
        };
    }

    /** How it reacts to the next requests, one after the other. */
    public TestBackend onNext(Reaction... reactions) {
        synchronized (nextReactions) {
            nextReactions.addAll(List.of(reactions));
        }
        return this;
    }

    /** How it reacts to requests whose path begins so; the longest beginning counts. */
    public TestBackend onPath(String prefix, Reaction reaction) {
        reactionsByPrefix.put(prefix, reaction);
        return this;
    }

    /** How many streams a connection may have, for connections from now on. */
    public TestBackend withMaxStreams(int newMaxStreams) {
        maxStreams = newMaxStreams;
        return this;
    }

    /** Sends its SETTINGS on connections from now on only after this, as a host that is slow to accept. */
    public TestBackend greetAfter(CountDownLatch newMayGreet) {
        mayGreet = newMayGreet;
        return this;
    }

    /** How many requests for a path it executed. */
    public int executions(String path) {
        return statistics.executions(path);
    }

    /** How many requests it executed, by path. */
    public Map<String, Integer> executionsByPath() {
        return statistics.executionsByPath();
    }

    /** How many requests with this idempotency key it executed. */
    public int executionsOfKey(String key) {
        return statistics.executionsOfKey(key);
    }

    /** How many requests came, whatever became of them. */
    public int requests() {
        return statistics.requests();
    }

    /** How many requests it answers now or will answer. */
    public int activeRequests() {
        return statistics.activeRequests();
    }

    /** Bytes of bodies that came for a path. */
    public long bodyBytes(String path) {
        return statistics.bodyBytes(path);
    }

    /** Those of the last request that had any. */
    public HttpFields trailers() {
        return statistics.trailers();
    }

    /** Bytes of answers' bodies that it sent. */
    public long sentBytes() {
        return statistics.sentBytes();
    }

    /** How many connections are open. */
    public int connections() {
        return connections.size();
    }

    /** {@code IP:PORT}. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    BackendStatistics statistics() {
        return statistics;
    }

    int maxStreams() {
        return maxStreams;
    }

    void awaitMayGreet() throws InterruptedException {
        mayGreet.await();
    }

    Reaction reactionTo(String path) {
        synchronized (nextReactions) {
            Reaction next = nextReactions.poll();
            if (next != null) {
                return next;
            }
        }
        return reactionsByPrefix.entrySet().stream()
                .filter(entry -> path.startsWith(entry.getKey()))
                .max(Comparator.comparingInt(entry -> entry.getKey().length()))
                .map(Map.Entry::getValue)
                .orElse(Reaction.of(Behaviour.ANSWER));
    }

    void execute(Runnable task) {
        threads.execute(task);
    }

    void executeAfter(long delayMs, Runnable task) {
        CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS, threads)
                .execute(task);
    }

    void connectionEnded(BackendConnection connection) {
        connections.remove(connection);
    }

    private void accept() {
        try {
            while (true) {
                BackendConnection connection = new BackendConnection(this, server.accept());
                connections.add(connection);
                threads.execute(connection::run);
            }
        } catch (IOException closed) {
            // the backend is closed
        }
    }

    /** Ends all connections and listens no more, as a process that dies. */
    @Override
    public void close() throws IOException {
        server.close();
        connections.forEach(BackendConnection::end);
        threads.shutdownNow();
    }
}
