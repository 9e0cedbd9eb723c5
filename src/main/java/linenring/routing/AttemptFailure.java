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
        /** The host reported so: a refused stream, or one above the last of a GOAWAY (RFC 9113, 8.7). */
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

    /** The attempt never got as far as a host: no connection, or none in time. */
    public static AttemptFailure neverSent() {
        return new AttemptFailure(Execution.NEVER_SENT, Cause.UNREACHABLE);
    }

    /** The client library made no stream for it, and so has written nothing. */
    public static AttemptFailure streamNotCreated() {
        return new AttemptFailure(Execution.NEVER_SENT, Cause.REFUSED);
    }

    /**
     * The host reset the stream. REFUSED_STREAM says that nothing was processed (RFC 9113, 8.7), unless the host has
     * begun to answer all the same.
     */
    public static AttemptFailure reset(boolean refused, boolean answerStarted) {
        return refused && !answerStarted
                ? new AttemptFailure(Execution.NOT_PROCESSED, Cause.REFUSED)
                : new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.RESET);
    }

    /**
     * The stream ended with its connection. A stream above the last one that a GOAWAY names was not processed (RFC 9113,
     * 6.8); of any other nothing is known.
     */
    public static AttemptFailure connectionLost(boolean aboveLastStreamOfGoAway) {
        return aboveLastStreamOfGoAway
                ? new AttemptFailure(Execution.NOT_PROCESSED, Cause.GOING_AWAY)
                : new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.CONNECTION_LOST);
    }

    /** The attempt's time is over; {@code sent}: its head was handed over for writing. */
    public static AttemptFailure timedOut(boolean sent) {
        return sent ? new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.TIMED_OUT) : neverSent();
    }

    /** The host began its answer and then sent nothing more of it. */
    public static AttemptFailure answerStalled() {
        return new AttemptFailure(Execution.RAN, Cause.TIMED_OUT);
    }

    /** The host answered with an error of its own. */
    public static AttemptFailure answeredErrored() {
        return new AttemptFailure(Execution.RAN, Cause.ANSWERED_ERRORED);
    }

    /** Whether the failure counts against the host; one that shuts a connection down in order has not failed. */
    public boolean countsAgainstHost() {
        return cause != Cause.GOING_AWAY;
    }

    /** Whether it is proven that the host did not execute the request, so that a second attempt is the first execution. */
    boolean isProvenNotExecuted() {
        return execution == Execution.NEVER_SENT || execution == Execution.NOT_PROCESSED;
    }
}
