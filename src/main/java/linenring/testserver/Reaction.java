package linenring.testserver;

import org.eclipse.jetty.http.HttpStatus;

/**
 * How a test backend handles a request: the behaviour with its delay, status and body size.
 *
 * @param behaviour how the request is handled
 * @param delayMs   delay before the response
 * @param status    status of the response
 * @param bodyBytes size of the response body
 * @param maxFrameBytes maximum payload of the DATA frames of the response body
 */
public record Reaction(Behaviour behaviour, long delayMs, int status, int bodyBytes, int maxFrameBytes) {
    private static final int DEFAULT_BODY_BYTES = 2;

    /** Initial value of the maximum frame size (RFC 9113, 6.5.2). */
    private static final int DEFAULT_MAX_FRAME_BYTES = 16 << 10;

    /** Returns a reaction without delay and with a short response body. */
    public static Reaction of(Behaviour behaviour) {
        int status = behaviour == Behaviour.ERROR ? HttpStatus.INTERNAL_SERVER_ERROR_500 : HttpStatus.OK_200;
        return new Reaction(behaviour, 0, status, DEFAULT_BODY_BYTES, DEFAULT_MAX_FRAME_BYTES);
    }

    /** Returns a copy of this reaction with another delay. */
    public Reaction withDelayMs(long newDelayMs) {
        return new Reaction(behaviour, newDelayMs, status, bodyBytes, maxFrameBytes);
    }

    /** Returns a copy of this reaction with another size of the response body. */
    public Reaction withBodyBytes(int newBodyBytes) {
        return new Reaction(behaviour, delayMs, status, newBodyBytes, maxFrameBytes);
    }

    /** Returns a copy of this reaction with another maximum payload of the DATA frames of the response body. */
    public Reaction withMaxFrameBytes(int newMaxFrameBytes) {
        return new Reaction(behaviour, delayMs, status, bodyBytes, newMaxFrameBytes);
    }

    boolean executesRequest() {
        return behaviour.executesRequest();
    }
}
