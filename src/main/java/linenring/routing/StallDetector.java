package linenring.routing;

/**
 * Notices that an answer no longer moves on: that the client has not taken what it was sent, or that the host has sent
 * nothing more of an answer that it began.
 *
 * <p>It guards against requests that hold buffers and a place for ever, since no timeout of an attempt applies once its
 * answer has begun; that shows as a count of active requests that never falls. Every byte that moves starts the time
 * anew, so a slow answer is not ended, only one that stands still. Written by the request's serialized tasks, read by
 * any thread. Times are ns of one clock that never shows 0 to a request.
 */
public final class StallDetector {
    private static final long NOT_WAITING = 0;

    /** Who has kept an answer from moving on for too long. */
    public enum Stall {
        /** Nobody. */
        NONE,
        /** The client does not take it. */
        CLIENT,
        /** The host sends nothing more. */
        HOST
    }

    private final long maxStallNanos;
    private volatile long clientWriteSinceNanos = NOT_WAITING;
    private volatile long hostSilentSinceNanos = NOT_WAITING;

    /** A stall is one of at least this length. */
    public StallDetector(long maxStallNanos) {
        this.maxStallNanos = maxStallNanos;
    }

    /** The client was sent something and has not taken it yet. */
    public void clientWriteStarted(long nowNanos) {
        clientWriteSinceNanos = nowNanos;
    }

    /** The client has taken what it was sent. */
    public void clientWriteEnded() {
        clientWriteSinceNanos = NOT_WAITING;
    }

    /** Whether something is on its way to the client. */
    public boolean isWritingToClient() {
        return clientWriteSinceNanos != NOT_WAITING;
    }

    /** All that the host has sent so far was read. */
    public void hostWaitStarted(long nowNanos) {
        hostSilentSinceNanos = nowNanos;
    }

    /** The host has sent more. */
    public void hostWaitEnded() {
        hostSilentSinceNanos = NOT_WAITING;
    }

    /** Nothing is waited for any more. */
    public void stop() {
        clientWriteSinceNanos = NOT_WAITING;
        hostSilentSinceNanos = NOT_WAITING;
    }

    /** Who stalls at this time. */
    public Stall check(long nowNanos) {
        if (isTooLong(clientWriteSinceNanos, nowNanos)) {
            return Stall.CLIENT;
        }
        return isTooLong(hostSilentSinceNanos, nowNanos) ? Stall.HOST : Stall.NONE;
    }

    private boolean isTooLong(long sinceNanos, long nowNanos) {
        return sinceNanos != NOT_WAITING && nowNanos - sinceNanos >= maxStallNanos;
    }
}
