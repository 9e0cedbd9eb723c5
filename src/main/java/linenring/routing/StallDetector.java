package linenring.routing;

import java.util.concurrent.TimeUnit;

/**
 * Detects a stalled answer: the client does not read the data that was sent to it, or the host sends no more data of an
 * answer that it has started. Also detects a request body that its client has stopped to send.
 *
 * <p>The timeout of an attempt no longer applies once its answer has started, so a stalled request would keep its
 * buffers and its place among the active requests forever; the number of active requests would never fall. Each
 * transfer of data restarts the time, so a slow answer is not ended. Fields are written by the request's serialized
 * tasks and read by any thread. Times are ns on one clock, which never returns 0.
 */
public final class StallDetector {
    private static final long NOT_WAITING = 0;

    /** Pause within a request body that is tolerated while other requests lack capacity; longer than round trips and retransmissions. */
    private static final long MAX_BODY_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The side that has stalled an answer. */
    public enum Stall {
        /** Neither side has stalled. */
        NONE,
        /** The client does not read the answer. */
        CLIENT,
        /** The host sends no more data of the answer. */
        HOST
    }

    private final long maxStallNanos;
    private volatile long clientWriteSinceNanos = NOT_WAITING;
    private volatile long hostWaitSinceNanos = NOT_WAITING;
    private volatile long bodyWaitSinceNanos = NOT_WAITING;

    /** Creates a detector that reports stalls of at least {@code maxStallNanos}. */
    public StallDetector(long maxStallNanos) {
        this.maxStallNanos = maxStallNanos;
    }

    /** Records that a write to the client has started. */
    public void clientWriteStarted(long nowNanos) {
        clientWriteSinceNanos = nowNanos;
    }

    /** Records that the client has accepted the data of the last write. */
    public void clientWriteEnded() {
        clientWriteSinceNanos = NOT_WAITING;
    }

    /** Whether a write to the client is in progress. */
    public boolean isWritingToClient() {
        return clientWriteSinceNanos != NOT_WAITING;
    }

    /** Records that all data from the host was read and more is expected. */
    public void hostWaitStarted(long nowNanos) {
        hostWaitSinceNanos = nowNanos;
    }

    /** Records that the host has sent more data. */
    public void hostWaitEnded() {
        hostWaitSinceNanos = NOT_WAITING;
    }

    /** Records that all data of the request body was forwarded and the client has to send more. */
    public void bodyWaitStarted(long nowNanos) {
        if (bodyWaitSinceNanos == NOT_WAITING) {
            bodyWaitSinceNanos = nowNanos;
        }
    }

    /** Records that the client has sent more data of the request body, or its end. */
    public void bodyWaitEnded() {
        bodyWaitSinceNanos = NOT_WAITING;
    }

    /** Whether the client has sent nothing of an unfinished request body for too long to keep others waiting. */
    public boolean isBodyStopped(long nowNanos) {
        long waitSinceNanos = bodyWaitSinceNanos;
        return waitSinceNanos != NOT_WAITING && nowNanos - waitSinceNanos >= MAX_BODY_PAUSE_NANOS;
    }

    /** Stops the detection of stalls. */
    public void stop() {
        bodyWaitSinceNanos = NOT_WAITING;
        clientWriteSinceNanos = NOT_WAITING;
        hostWaitSinceNanos = NOT_WAITING;
    }

    /** Returns the side that is stalled at {@code nowNanos}. */
    public Stall check(long nowNanos) {
        if (isStalled(clientWriteSinceNanos, nowNanos)) {
            return Stall.CLIENT;
        }
        return isStalled(hostWaitSinceNanos, nowNanos) ? Stall.HOST : Stall.NONE;
    }

    private boolean isStalled(long waitSinceNanos, long nowNanos) {
        return waitSinceNanos != NOT_WAITING && nowNanos - waitSinceNanos >= maxStallNanos;
    }
}
