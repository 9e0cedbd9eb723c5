package linenring.routing;

/** The effect of executing a request of an operation a second time. */
public enum Idempotence {
    /** A second execution has no effect, so the request can be retried. */
    IDEMPOTENT,
    /**
     * Hosts drop a duplicate by its idempotency key, within the deduplication scope and window of the first execution.
     */
    FINGERPRINTED,
    /** A second execution does harm, so a request is retried only if it is proven that it was not executed. */
    SIDE_EFFECTING
}
