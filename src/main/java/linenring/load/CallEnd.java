package linenring.load;

import org.eclipse.jetty.http2.ErrorCode;

/**
 * How a call ended: with a response, a stream reset, or none of these.
 *
 * @param label      text for the table of results
 * @param isAnswered whether a response was received, with any status
 */
record CallEnd(String label, boolean isAnswered) {
    /** The call was sent, but it is unknown whether the server processed it. */
    static final CallEnd LOST = new CallEnd("lost", false);

    /** The server guaranteed that it did not process the call (RFC 9113, 8.7 and 6.8). */
    static final CallEnd REFUSED = new CallEnd("refused", false);

    /** The call was not sent, since no connection could open a stream for it. */
    static final CallEnd UNSENT = new CallEnd("unsent", false);

    static CallEnd answered(int status) {
        return new CallEnd(Integer.toString(status), true);
    }

    static CallEnd reset(int errorCode) {
        return errorCode == ErrorCode.REFUSED_STREAM_ERROR.code ? REFUSED : new CallEnd("reset " + errorCode, false);
    }
}
