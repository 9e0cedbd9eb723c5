package linenring.routing;

/**
 * One operation as callers and hosts know it. Times are milliseconds: {@code window}, how long the hosts of a
 * {@code group} drop a repeat of a fingerprinted invocation; {@code objective}, its latency objective;
 * {@code timeout}, its integration timeout, past which nobody waits for it.
 */
public record Limits(
        String operation, Idempotence effect, Group group, double window, double objective, double timeout) {
    /** Which hosts remember a mark together. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    public Limits {
        if (!(objective > 0) || !(timeout > 0) || !(window >= 0)) {
            throw new IllegalArgumentException(operation + ": times are over 0");
        }
    }
}
