package linenring.testserver;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpFields;

/** Counters of the requests that a test backend has received and executed. Thread-safe. */
final class BackendStatistics {
    private final Map<String, Integer> executionsByPath = new TreeMap<>(); // guarded by this
    private final Map<String, Integer> executionsByKey = new TreeMap<>(); // guarded by this
    private final Map<String, Long> bodyBytesByPath = new ConcurrentHashMap<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private volatile HttpFields lastTrailers = HttpFields.EMPTY;
    private int receivedRequests; // guarded by this
    private int activeRequests; // guarded by this

    /**
     * Counts a received request.
     *
     * @param key idempotency key if the request has one and is executed, otherwise null
     */
    synchronized void requestReceived(String key) {
        receivedRequests++;
        if (key != null) {
            executionsByKey.merge(key, 1, Integer::sum);
        }
    }

    synchronized void requestExecuted(String path) {
        executionsByPath.merge(path, 1, Integer::sum);
    }

    synchronized void answerStarted() {
        activeRequests++;
    }

    synchronized void answerEnded() {
        activeRequests--;
    }

    void bodyReceived(String path, int bytes) {
        bodyBytesByPath.merge(path, (long) bytes, Long::sum);
    }

    void bodySent(int bytes) {
        sentBytes.addAndGet(bytes);
    }

    void trailersReceived(HttpFields fields) {
        lastTrailers = fields;
    }

    synchronized int executions(String path) {
        return executionsByPath.getOrDefault(path, 0);
    }

    synchronized Map<String, Integer> executionsByPath() {
        return new TreeMap<>(executionsByPath);
    }

    synchronized int executionsOfKey(String key) {
        return executionsByKey.getOrDefault(key, 0);
    }

    synchronized int receivedRequests() {
        return receivedRequests;
    }

    synchronized int activeRequests() {
        return activeRequests;
    }

    long bodyBytes(String path) {
        return bodyBytesByPath.getOrDefault(path, 0L);
    }

    long sentBytes() {
        return sentBytes.get();
    }

    HttpFields lastTrailers() {
        return lastTrailers;
    }
}
