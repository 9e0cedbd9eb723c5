package linenring.routing;

/** What it would do if an invocation ran a second time. */
public enum Idempotence {
    /** Nothing: it may run again. */
    IDEMPOTENT,
    /** Nothing while its mark is remembered, inside the group of hosts that remember it together. */
    FINGERPRINTED,
    /** Harm: it never runs again, unless it is proven that it never ran. */
    SIDE_EFFECTING
}
