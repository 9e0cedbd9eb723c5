package linenring.testserver;

/** What a test backend does with a request. All but the first four execute it, and count it as executed. */
public enum Behaviour {
    /** Resets the stream with REFUSED_STREAM (RFC 9113, 8.7). */
    REFUSE,
    /** Sends a GOAWAY below this stream, and takes nothing more on the connection (RFC 9113, 6.8). */
    GO_AWAY_BELOW,
    /** Closes the connection. */
    CLOSE,
    /** Never allows more of the body than the first window. */
    NO_WINDOW,
    /** Answers as it should. */
    ANSWER,
    /** Answers with a status of 500 and more. */
    ERROR,
    /** Answers nothing, ever. */
    HANG,
    /** Resets the stream instead of an answer. */
    RESET,
    /** Resets the stream behind the answer's headers. */
    RESET_AFTER_HEAD,
    /** Resets the stream in the middle of the answer's body. */
    RESET_IN_BODY,
    /** Closes the connection instead of an answer. */
    DIE,
    /** Closes the connection in the middle of the answer's body. */
    DIE_IN_BODY,
    /** Sends half of the answer's body and no more. */
    HANG_IN_BODY,
    /** Sends the answer's body a byte at a time. */
    TRICKLE,
    /** Sends a 103, then the answer, then trailers. */
    EARLY_HINTS_AND_TRAILERS,
    /** Announces a longer content-length than it sends. */
    LIE_ABOUT_LENGTH;

    boolean executes() {
        return compareTo(ANSWER) >= 0;
    }
}
