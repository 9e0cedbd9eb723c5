package linenring.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers for the deduplication window which host may have executed a request with an idempotency key. A client that repeats
 * a request, such as after its connection was lost, is then sent to hosts that recognize the duplicate. Thread-safe; times are
 * ms on the caller's clock.
 *
 * <p>Keys are remembered by a hash. Two keys with one hash only keep the later request in the deduplication scope of the
 * earlier one. At the limit the oldest key is forgotten, and a repetition of its request may be executed in another scope.
 */
public final class RecentExecutions {
    /** Estimated heap of one remembered key. */
    public static final int BYTES_PER_KEY = 128;

    private static final long HASH_OFFSET = 0xcbf29ce484222325L; // FNV-1a with 64 bits
    private static final long HASH_PRIME = 0x100000001b3L;

    /**
     * The first possible execution of a request.
     *
     * @param host     index of the host
     * @param sentAtMs when the request was sent to the host
     */
    record Execution(int host, double sentAtMs) {}

    private record Remembered(Execution execution, double expiresAtMs) {}

    private final int maxKeys;
    private final Map<Long, Remembered> rememberedByHash = new LinkedHashMap<>(); // oldest first; @GuardedBy("this")

    /** Creates an empty memory of at most {@code maxKeys} keys. */
    public RecentExecutions(int maxKeys) {
        this.maxKeys = maxKeys;
    }

    /** Returns the possible execution of a request with this key, if its deduplication window has not ended. */
    synchronized Optional<Execution> find(int operation, String key, double nowMs) {
        Remembered remembered = rememberedByHash.get(hash(operation, key));
        return remembered == null || nowMs >= remembered.expiresAtMs()
                ? Optional.empty()
                : Optional.of(remembered.execution());
    }

    /**
     * Remembers a possible execution for the deduplication window, which begins when the request is sent, unless an earlier one
     * with this key is remembered. Returns the execution that is remembered then.
     */
    synchronized Execution remember(int operation, String key, Execution execution, double windowMs) {
        Optional<Execution> earlier = find(operation, key, execution.sentAtMs());
        if (earlier.isPresent()) {
            return earlier.get();
        }
        long hash = hash(operation, key);
        rememberedByHash.remove(hash);
        rememberedByHash.put(hash, new Remembered(execution, execution.sentAtMs() + windowMs));
        forgetOldest(execution.sentAtMs());
        return execution;
    }

    /** Forgets an execution that is proven not to have taken place. */
    synchronized void forget(int operation, String key, Execution execution) {
        long hash = hash(operation, key);
        Remembered remembered = rememberedByHash.get(hash);
        if (remembered != null && remembered.execution().equals(execution)) {
            rememberedByHash.remove(hash);
        }
    }

    private void forgetOldest(double nowMs) {
        Iterator<Remembered> oldestFirst = rememberedByHash.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean isExpired = nowMs >= oldestFirst.next().expiresAtMs();
            if (!isExpired && rememberedByHash.size() <= maxKeys) {
                return;
            }
            oldestFirst.remove();
        }
    }

    private static long hash(int operation, String key) {
        long hash = (HASH_OFFSET ^ operation) * HASH_PRIME;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * HASH_PRIME;
        }
        return hash;
    }

    synchronized int size() {
        return rememberedByHash.size();
    }
}
