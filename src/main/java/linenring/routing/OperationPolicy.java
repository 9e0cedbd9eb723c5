package linenring.routing;

/**
 * The properties of one operation that decide how the gateway retries its requests.
 *
 * @param operation             name of the operation
 * @param idempotence           effect of executing a request a second time
 * @param deduplicationScope    group of hosts that recognize each other's duplicates
 * @param deduplicationWindowMs time for which hosts drop a duplicate of a request with an idempotency key
 * @param latencyObjectiveMs    latency that callers are promised
 * @param timeoutMs             time after which callers stop waiting for an answer
 */
public record OperationPolicy(
        String operation,
        Idempotence idempotence,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double latencyObjectiveMs,
        double timeoutMs) {
    /** The group of hosts that share their idempotency keys. */
    public enum DeduplicationScope {
        /** All hosts share their idempotency keys. */
        ALL,
        /** The hosts of one zone share their idempotency keys. */
        ZONE,
        /** The hosts of one cell of a zone share their idempotency keys. */
        CELL
    }

    /** Checks that objective and timeout are positive and that the window is not negative. */
    public OperationPolicy {
        requireTime(operation, "latency objective", latencyObjectiveMs, latencyObjectiveMs > 0);
        requireTime(operation, "timeout", timeoutMs, timeoutMs > 0);
        requireTime(operation, "deduplication window", deduplicationWindowMs, deduplicationWindowMs >= 0);
    }

    private static void requireTime(String operation, String name, double valueMs, boolean isValid) {
        if (!isValid) {
            throw new IllegalArgumentException("operation " + operation + ": invalid " + name + " of " + valueMs
                    + " ms; objective and timeout must be above 0, and the window must be at least 0");
        }
    }
}
