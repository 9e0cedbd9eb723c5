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
 * HTTP/2 test backend (prior knowledge, loopback only) that handles requests with configured reactions and counts the requests
 * that it executes. Reactions from {@link #onNext} take precedence over reactions from {@link #onPath}; without any, the
 * backend sends a normal response. Thread-safe.
 */
public final class TestBackend implements AutoCloseable {
    private static final int ACCEPT_QUEUE_CONNECTIONS = 512;
    private static final int DEFAULT_MAX_STREAMS = 100;
    private static final int UNLIMITED = -1;

    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool(daemonThreads());
    private final Set<BackendConnection> openConnections = ConcurrentHashMap.newKeySet();
    private final ArrayDeque<Reaction> nextReactions = new ArrayDeque<>(); // guarded by its own monitor
    private final Map<String, Reaction> reactionsByPrefix = new ConcurrentHashMap<>();
    private final BackendStatistics statistics = new BackendStatistics();
    private volatile int maxStreams = DEFAULT_MAX_STREAMS;
    private volatile int maxHeaderListBytes = UNLIMITED;
    private volatile CountDownLatch settingsAllowed = new CountDownLatch(0);

    /** Starts a backend on a free port. */
    public TestBackend() throws IOException {
        this(0);
    }

    /** Starts a backend on the given port; 0 selects a free port. */
    public TestBackend(int port) throws IOException {
        server = new ServerSocket(port, ACCEPT_QUEUE_CONNECTIONS, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptConnections);
    }

    private static ThreadFactory daemonThreads() {
        return task -> {
            Thread thread = new Thread(task, "test-backend");
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Adds reactions for the next requests; each reaction is used once, in the given order. */
    public TestBackend onNext(Reaction... reactions) {
        synchronized (nextReactions) {
            nextReactions.addAll(List.of(reactions));
        }
        return this;
    }

    /** Sets the reaction to requests whose path starts with a prefix; the longest matching prefix applies. */
    public TestBackend onPath(String prefix, Reaction reaction) {
        reactionsByPrefix.put(prefix, reaction);
        return this;
    }

    /** Sets the limit of concurrent streams for connections accepted from now on. */
    public TestBackend withMaxStreams(int newMaxStreams) {
        maxStreams = newMaxStreams;
        return this;
    }

    /** Sets the limit of header bytes that is announced on connections accepted from now on. */
    public TestBackend withMaxHeaderListBytes(int newMaxHeaderListBytes) {
        maxHeaderListBytes = newMaxHeaderListBytes;
        return this;
    }

    /** Delays the SETTINGS frame on new connections until a latch opens, like a host that is slow to accept. */
    public TestBackend delaySettingsUntil(CountDownLatch newSettingsAllowed) {
        settingsAllowed = newSettingsAllowed;
        return this;
    }

    /** Returns the number of executed requests for a path. */
    public int executions(String path) {
        return statistics.executions(path);
    }

    /** Returns the number of executed requests by path. */
    public Map<String, Integer> executionsByPath() {
        return statistics.executionsByPath();
    }

    /** Returns the number of executed requests with an idempotency key. */
    public int executionsOfKey(String key) {
        return statistics.executionsOfKey(key);
    }

    /** Returns the number of requests received, whether executed or not. */
    public int receivedRequests() {
        return statistics.receivedRequests();
    }

    /** Returns the number of complete requests whose response is pending or being sent. */
    public int activeRequests() {
        return statistics.activeRequests();
    }

    /** Returns the number of request body bytes received for a path. */
    public long bodyBytes(String path) {
        return statistics.bodyBytes(path);
    }

    /** Returns the trailers of the most recent request that had trailers. */
    public HttpFields lastTrailers() {
        return statistics.lastTrailers();
    }

    /** Returns the number of response body bytes sent. */
    public long sentBytes() {
        return statistics.sentBytes();
    }

    /** Returns the number of open connections. */
    public int openConnectionCount() {
        return openConnections.size();
    }

    /** Returns the listening address as {@code IP:PORT}. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    BackendStatistics statistics() {
        return statistics;
    }

    /** Returns the settings that are announced on a new connection, as pairs of identifier and value. */
    int[] settings() {
        return maxHeaderListBytes == UNLIMITED
                ? new int[] {Frame.MAX_CONCURRENT_STREAMS, maxStreams}
                : new int[] {Frame.MAX_CONCURRENT_STREAMS, maxStreams, Frame.MAX_HEADER_LIST_SIZE, maxHeaderListBytes};
    }

    void awaitSettingsAllowed() throws InterruptedException {
        settingsAllowed.await();
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
        openConnections.remove(connection);
    }

    private void acceptConnections() {
        try {
            while (true) {
                BackendConnection connection = new BackendConnection(this, server.accept());
                openConnections.add(connection);
                threads.execute(connection::run);
            }
        } catch (IOException serverClosed) {
            // the listening socket was closed
        }
    }

    /** Closes the listening socket and all connections abruptly, like a process that crashes. */
    @Override
    public void close() throws IOException {
        server.close();
        openConnections.forEach(BackendConnection::close);
        threads.shutdownNow();
    }
}
