package linenring.routing;

/** What it would do if a request were executed a second time. */
public enum Idempotence {
    /** Nothing: it may be repeated. */
    IDEMPOTENT,
    /** Nothing while hosts remember its idempotency key, inside the group of hosts that remember it together. */
    FINGERPRINTED,
    /** Harm: it is never repeated, unless it is proven that it was not executed. */
    SIDE_EFFECTING
}
