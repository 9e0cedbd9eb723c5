package linenring.routing;

/**
 * The failure of one attempt at a host.
 *
 * @param execution what the failure proves about whether the host executed the request
 * @param cause     what ended the attempt; used in the log and in the answer to the client
 */
public record AttemptFailure(Execution execution, Cause cause) {
    /** What the end of an attempt proves about the execution of the request. */
    public enum Execution {
        /** No part of the request was written to the connection. */
        NEVER_SENT,
        /** The host reported that it did not process the stream, by REFUSED_STREAM or by a GOAWAY (RFC 9113, 8.7). */
        NOT_PROCESSED,
        /** The host may or may not have executed the request. */
        MAY_HAVE_RUN,
        /** The host executed the request, since it answered. */
        RAN
    }

    /** The event that ended the attempt. */
    public enum Cause {
        /** No connection to the host could be opened in time. */
        UNREACHABLE,
        /** The request's headers are larger than the host accepts (RFC 9113, 6.5.2). */
        HEADERS_TOO_LARGE,
        /** The host refused the stream (RFC 9113, 8.7). */
        REFUSED,
        /** The host shuts the connection down gracefully with GOAWAY (RFC 9113, 6.8). */
        GOING_AWAY,
        /** The host reset the stream (RFC 9113, 6.4). */
        RESET,
        /** The connection to the host was lost. */
        CONNECTION_LOST,
        /** The host sent no answer before the attempt timed out. */
        TIMED_OUT,
        /** The host answered with an error. */
        ANSWERED_ERRORED
    }

    /** Returns the failure of an attempt that was never sent, because no connection to the host was open in time. */
    public static AttemptFailure neverSent() {
        return new AttemptFailure(Execution.NEVER_SENT, Cause.UNREACHABLE);
    }

    /**
     * Returns the failure of an attempt for which the HTTP client library created no stream, so that nothing was
     * written.
     */
    public static AttemptFailure streamNotCreated() {
        return new AttemptFailure(Execution.NEVER_SENT, Cause.REFUSED);
    }

    /** Returns the failure of an attempt that was not sent, because the host accepts fewer bytes of headers. */
    public static AttemptFailure headersTooLarge() {
        return new AttemptFailure(Execution.NEVER_SENT, Cause.HEADERS_TOO_LARGE);
    }

    /**
     * Returns the failure of an attempt whose stream the host reset. REFUSED_STREAM proves that the host did not
     * process the request (RFC 9113, 8.7), unless the host has already started an answer.
     */
    public static AttemptFailure reset(boolean isRefused, boolean hasAnswerStarted) {
        return isRefused && !hasAnswerStarted
                ? new AttemptFailure(Execution.NOT_PROCESSED, Cause.REFUSED)
                : new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.RESET);
    }

    /**
     * Returns the failure of an attempt whose connection was lost. A stream above the last stream identifier of a
     * GOAWAY frame was not processed (RFC 9113, 6.8); any other stream may have been executed.
     */
    public static AttemptFailure connectionLost(boolean isAboveLastStreamOfGoAway) {
        return isAboveLastStreamOfGoAway
                ? new AttemptFailure(Execution.NOT_PROCESSED, Cause.GOING_AWAY)
                : new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.CONNECTION_LOST);
    }

    /** Returns the failure of an attempt that timed out; {@code wasSent}: its header frame was passed on for writing. */
    public static AttemptFailure timedOut(boolean wasSent) {
        return wasSent ? new AttemptFailure(Execution.MAY_HAVE_RUN, Cause.TIMED_OUT) : neverSent();
    }

    /** Returns the failure of an attempt whose host started an answer and then stalled. */
    public static AttemptFailure answerStalled() {
        return new AttemptFailure(Execution.RAN, Cause.TIMED_OUT);
    }

    /** Returns the failure of an attempt that the host answered with an error. */
    public static AttemptFailure answeredErrored() {
        return new AttemptFailure(Execution.RAN, Cause.ANSWERED_ERRORED);
    }

    /**
     * Whether the failure counts for outlier ejection of the host; a graceful shutdown of a connection and a request with
     * too large headers do not count.
     */
    public boolean countsAgainstHost() {
        return cause != Cause.GOING_AWAY && cause != Cause.HEADERS_TOO_LARGE;
    }

    /**
     * Whether the failure proves that the host did not execute the request, so that a retry cannot execute it twice.
     */
    boolean isProvenNotExecuted() {
        return execution == Execution.NEVER_SENT || execution == Execution.NOT_PROCESSED;
    }
}
