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
 * @param fillFieldBytes length of the header field x-fill of the response
 */
public record Reaction(
        Behaviour behaviour, long delayMs, int status, int bodyBytes, int maxFrameBytes, int fillFieldBytes) {
    private static final int DEFAULT_BODY_BYTES = 2;

    /** Initial value of the maximum frame size (RFC 9113, 6.5.2). */
    private static final int DEFAULT_MAX_FRAME_BYTES = 16 << 10;

    /** Returns a reaction without delay and with a short response body. */
    public static Reaction of(Behaviour behaviour) {
        int status = behaviour == Behaviour.ERROR ? HttpStatus.INTERNAL_SERVER_ERROR_500 : HttpStatus.OK_200;
        return new Reaction(behaviour, 0, status, DEFAULT_BODY_BYTES, DEFAULT_MAX_FRAME_BYTES, 0);
    }

    /** Returns a copy of this reaction with another delay. */
    public Reaction withDelayMs(long newDelayMs) {
        return new Reaction(behaviour, newDelayMs, status, bodyBytes, maxFrameBytes, fillFieldBytes);
    }

    /** Returns a copy of this reaction with another size of the response body. */
    public Reaction withBodyBytes(int newBodyBytes) {
        return new Reaction(behaviour, delayMs, status, newBodyBytes, maxFrameBytes, fillFieldBytes);
    }

    /** Returns a copy of this reaction with another maximum payload of the DATA frames of the response body. */
    public Reaction withMaxFrameBytes(int newMaxFrameBytes) {
        return new Reaction(behaviour, delayMs, status, bodyBytes, newMaxFrameBytes, fillFieldBytes);
    }

    /** Returns a copy of this reaction with a response header field of a given length. */
    public Reaction withFillFieldBytes(int newFillFieldBytes) {
        return new Reaction(behaviour, delayMs, status, bodyBytes, maxFrameBytes, newFillFieldBytes);
    }

    boolean executesRequest() {
        return behaviour.executesRequest();
    }
}
