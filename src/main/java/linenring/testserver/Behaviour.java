package linenring.testserver;

/** How a test backend handles a request. REFUSE, GO_AWAY_BELOW, CLOSE and NO_WINDOW do not count it as executed; all others do. */
public enum Behaviour {
    /** Resets the stream with REFUSED_STREAM (RFC 9113, 8.7). */
    REFUSE,
    /** Sends a GOAWAY whose last stream is below the request's, and ignores later requests on the connection (RFC 9113, 6.8). */
    GO_AWAY_BELOW,
    /** Closes the connection without executing the request. */
    CLOSE,
    /** Sends neither a WINDOW_UPDATE nor a response, so that the client can send only the initial window of the request body. */
    NO_WINDOW,
    /** Sends a normal, complete response. */
    ANSWER,
    /** Sends a response with a status of 500 or above. */
    ERROR,
    /** Never sends a response. */
    HANG,
    /** Resets the stream instead of sending a response. */
    RESET,
    /** Resets the stream after the response headers. */
    RESET_AFTER_HEAD,
    /** Resets the stream in the middle of the response body. */
    RESET_IN_BODY,
    /** Executes the request and closes the connection instead of sending a response. */
    DIE,
    /** Closes the connection in the middle of the response body. */
    DIE_IN_BODY,
    /** Sends half of the response body and then stalls. */
    HANG_IN_BODY,
    /** Sends the response body one byte at a time. */
    TRICKLE,
    /** Sends a 103 (Early Hints) response, the final response and trailers. */
    EARLY_HINTS_AND_TRAILERS,
    /** Sends two 103 (Early Hints) responses and never the final response. */
    HANG_AFTER_EARLY_HINTS,
    /** Announces a larger content-length than the body that it sends. */
    LIE_ABOUT_LENGTH;

    boolean executesRequest() {
        return compareTo(ANSWER) >= 0;
    }
}
