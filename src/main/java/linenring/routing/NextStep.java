package linenring.routing;

/** The next step of a request, as decided by its {@link RetryDecision}. */
public sealed interface NextStep {
    /** Take no action: the client is gone or its answer has started. */
    NextStep NOTHING = new Nothing();

    /** Forward the host's answer to the client. */
    NextStep FORWARD = new Forward();

    /**
     * Send the request to a host.
     *
     * @param host       index of the host
     * @param sendDeadlineMs   latest time at which the request may be sent: a retry that is sent later may arrive after the
     *                   deduplication window of the hosts has ended
     * @param attemptDeadlineMs time at which the attempt times out
     */
    record Send(int host, double sendDeadlineMs, double attemptDeadlineMs) implements NextStep {}

    /** Answer the request with a failure; {@code retryAfterMs} is infinity if no retry time is known. */
    record Reject(FailureReason reason, double retryAfterMs) implements NextStep {}

    /** Forward the host's response to the client; {@link #FORWARD} is the only instance. */
    record Forward() implements NextStep {}

    /** Take no action; {@link #NOTHING} is the only instance. */
    record Nothing() implements NextStep {}
}
