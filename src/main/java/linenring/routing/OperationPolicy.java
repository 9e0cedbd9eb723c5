package linenring.routing;

/**
 * One operation as callers and hosts know it.
 *
 * @param operation             its name
 * @param idempotence           what a second execution would do
 * @param deduplicationScope    which hosts recognise each other's repeats
 * @param deduplicationWindowMs how long they drop a repeat of a request with an idempotency key
 * @param latencyObjectiveMs    the latency that its callers are promised
 * @param timeoutMs             past which nobody waits for an answer
 */
public record OperationPolicy(
        String operation,
        Idempotence idempotence,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double latencyObjectiveMs,
        double timeoutMs) {
    /** Which hosts remember an idempotency key together. */
    public enum DeduplicationScope {
        /** All of them. */
        ALL,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell of a zone. */
        CELL
    }

    /** Checks that the times can be used. */
    public OperationPolicy {
        requireTime(operation, "latency objective", latencyObjectiveMs, latencyObjectiveMs > 0);
        requireTime(operation, "timeout", timeoutMs, timeoutMs > 0);
        requireTime(operation, "deduplication window", deduplicationWindowMs, deduplicationWindowMs >= 0);
    }

    private static void requireTime(String operation, String name, double valueMs, boolean valid) {
        if (!valid) {
            throw new IllegalArgumentException("operation " + operation + ": " + name + " of " + valueMs
                    + " ms; objective and timeout are over 0, the window is not under 0");
        }
    }
}
