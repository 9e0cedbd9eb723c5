package linenring.routing;

/**
 * How one attempt at a host ended without the answer that was wanted.
 *
 * @param execution what is known about whether the host executed the request
 * @param cause     what ended the attempt, for the log and the answer
 */
public record AttemptFailure(Execution execution, Cause cause) {
    /** What the end of an attempt proves about execution. */
    public enum Execution {
        /** Nothing of the request was written. */
        NEVER_SENT,
        /** The host said so: a refused stream, or one above the last of a GOAWAY (RFC 9113, 8.7). */
        NOT_PROCESSED,
        /** Nothing is proven. */
        MAY_HAVE_RUN,
        /** The host answered. */
        RAN
    }

    /** What ended the attempt. */
    public enum Cause {
        /** No connection, or none in time. */
        UNREACHABLE,
        /** The stream was refused (RFC 9113, 8.7). */
        REFUSED,
        /** The host shuts the connection down in order (RFC 9113, 6.8). */
        GOING_AWAY,
        /** The stream was reset (RFC 9113, 6.4). */
        RESET,
        /** The connection broke. */
        CONNECTION_LOST,
        /** No answer within the attempt's time. */
        TIMED_OUT,
        /** The host answered with an error of its own. */
        ANSWERED_ERRORED
    }

    /** Whether it is proven that the host did not execute the request, so that a second attempt is the first execution. */
    boolean isProvenNotExecuted() {
        return execution == Execution.NEVER_SENT || execution == Execution.NOT_PROCESSED;
    }
}
