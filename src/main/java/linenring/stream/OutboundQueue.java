package linenring.stream;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * Writes messages to one peer, in order, without making the sender wait: what the socket does not take stays queued up to
 * a limit. A peer that stops reading would otherwise hold up the control loop, or grow the heap. Thread-safe: the queue is
 * guarded by its own monitor.
 */
final class OutboundQueue {
    /** What a peer may leave unread before its connection is closed. */
    private static final int MAX_UNSENT_BYTES = 128 << 10;

    /** What became of a message. */
    enum OfferResult {
        QUEUED,
        /** The peer reads too little; the message is dropped. */
        OVERFLOW,
        CLOSED
    }

    private final EndPoint endPoint;
    private final Runnable onWriteFailure;
    private final Flusher flusher = new Flusher();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>(); // @GuardedBy("unsent")
    private int unsentBytes; // @GuardedBy("unsent")
    private volatile boolean isClosed; // written under "unsent"

    OutboundQueue(EndPoint endPoint, Runnable onWriteFailure) {
        this.endPoint = endPoint;
        this.onWriteFailure = onWriteFailure;
    }

    /** Queues a message and writes what the socket takes at once. */
    OfferResult offer(byte[] message) {
        synchronized (unsent) {
            if (isClosed) {
                return OfferResult.CLOSED;
            }
            if (unsentBytes > MAX_UNSENT_BYTES) { // judged before adding: one message may have an entry for each host
                return OfferResult.OVERFLOW;
            }
            unsent.add(ByteBuffer.wrap(message));
            unsentBytes += message.length;
        }
        flusher.iterate();
        return OfferResult.QUEUED;
    }

    /** Takes no further message; false where it was closed before. */
    boolean close() {
        synchronized (unsent) {
            if (isClosed) {
                return false;
            }
            isClosed = true;
            return true;
        }
    }

    boolean isClosed() {
        return isClosed;
    }

    /** One write at a time; iterated again by whoever adds a message. */
    private final class Flusher extends IteratingCallback {
        @Override
        protected Action process() {
            ByteBuffer next;
            synchronized (unsent) {
                next = unsent.peek();
            }
            if (next == null) {
                return Action.IDLE;
            }
            endPoint.write(this, next);
            return Action.SCHEDULED;
        }

        @Override
        protected void onSuccess() {
            synchronized (unsent) {
                unsentBytes -= unsent.remove().capacity();
            }
        }

        @Override
        protected void onCompleteFailure(Throwable cause) {
            onWriteFailure.run();
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }
}
