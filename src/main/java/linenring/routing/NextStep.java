package linenring.routing;

/** What a {@link RetryDecision} wants done next. */
public sealed interface NextStep {
    /** Nothing: nobody waits any more, or the answer has begun. */
    NextStep NOTHING = new Nothing();

    /** Forward what the host has answered. */
    NextStep FORWARD = new Forward();

    /**
     * Send the request to this host.
     *
     * @param host       its index
     * @param sendByMs   send it until then or not at all: a repeat that sets out later may come after the time in which
     *                   hosts recognise it
     * @param giveUpAtMs when this attempt has taken too long
     */
    record Send(int host, double sendByMs, double giveUpAtMs) implements NextStep {}

    /** Answer with a failure now; {@code retryAfterMs} is infinity where no time to come back is known. */
    record Reject(FailureReason reason, double retryAfterMs) implements NextStep {}

    /** See {@link #FORWARD}. */
    record Forward() implements NextStep {}

    /** See {@link #NOTHING}. */
    record Nothing() implements NextStep {}
}
