package linenring.stream;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * A bounded queue of messages to one peer, written in order and without blocking the sender. Messages that the socket does not
 * accept stay queued up to a limit: a peer that stops reading would otherwise block the control loop or fill the heap.
 * Thread-safe: the queue is guarded by its own monitor.
 */
final class OutboundQueue {
    /** Limit of unsent bytes, beyond which the connection of a peer that does not read is closed. */
    private static final int MAX_UNSENT_BYTES = 128 << 10;

    /** The result of offering a message to the queue. */
    enum OfferResult {
        QUEUED,
        /** The message was dropped, since the peer has not read enough of the messages before it. */
        OVERFLOW,
        CLOSED
    }

    private final EndPoint endPoint;
    private final Runnable onWriteFailure;
    private final Flusher flusher = new Flusher();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>(); // @GuardedBy("unsent")
    private int unsentBytes; // @GuardedBy("unsent")
    private volatile boolean isClosed; // modified only while holding the lock of the field unsent

    OutboundQueue(EndPoint endPoint, Runnable onWriteFailure) {
        this.endPoint = endPoint;
        this.onWriteFailure = onWriteFailure;
    }

    /** Queues a message and starts to write, unless a write is already in progress. */
    OfferResult offer(byte[] message) {
        synchronized (unsent) {
            if (isClosed) {
                return OfferResult.CLOSED;
            }
            // the limit is checked before the message is added, since a single message may have an entry for each host
            if (unsentBytes > MAX_UNSENT_BYTES) {
                return OfferResult.OVERFLOW;
            }
            unsent.add(ByteBuffer.wrap(message));
            unsentBytes += message.length;
        }
        flusher.iterate();
        return OfferResult.QUEUED;
    }

    /** Closes the queue for further messages; returns false if the queue was already closed. */
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

    /** Writes one message at a time; each offered message triggers another iteration. */
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
