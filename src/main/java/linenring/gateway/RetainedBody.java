package linenring.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Retains the bytes of a request body so that another attempt can send them again. A body that exceeds its own limit or
 * the shared limit of all bodies is discarded, and the request then has no attempt after the current one. Not thread-safe.
 */
final class RetainedBody {
    private final int maxBytes;
    private final BufferBudget budget;
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);
    private int reservedBytes;
    private boolean complete = true; // all bytes read so far are retained
    private boolean ended;

    RetainedBody(int maxBytes, BufferBudget budget) {
        this.maxBytes = maxBytes;
        this.budget = budget;
    }

    /** Retains a copy of the bytes read, or discards the body if a limit is exceeded. */
    void add(ByteBuffer readBytes, boolean isLast) {
        ended |= isLast;
        int length = readBytes.remaining();
        if (!complete || length == 0) {
            return;
        }
        if (reservedBytes + length > maxBytes || !budget.tryReserve(length)) {
            discard();
            return;
        }
        reservedBytes += length;
        byte[] copy = new byte[length];
        readBytes.duplicate().get(copy);
        bytes.writeBytes(copy);
    }

    /** Whether all bytes read so far are retained and can be sent again. */
    boolean isComplete() {
        return complete;
    }

    /** Whether the end of the body was read. */
    boolean hasEnded() {
        return ended;
    }

    byte[] bytes() {
        return bytes.toByteArray();
    }

    /** Discards the retained bytes and retains no later ones. */
    void discard() {
        budget.release(reservedBytes);
        reservedBytes = 0;
        bytes = new ByteArrayOutputStream(0);
        complete = false;
    }
}
