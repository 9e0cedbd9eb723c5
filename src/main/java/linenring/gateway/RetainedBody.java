package linenring.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * The beginning of a request's body, retained so that it can be sent a second time. Past its limit, or that of all bodies
 * together, nothing is retained, and the request has no attempt but the one that is under way. Not thread-safe.
 */
final class RetainedBody {
    private final int maxBytes;
    private final BufferBudget budget;
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);
    private int reservedBytes;
    private boolean complete = true; // all that was read is retained
    private boolean ended;

    RetainedBody(int maxBytes, BufferBudget budget) {
        this.maxBytes = maxBytes;
        this.budget = budget;
    }

    /** Takes a copy of what was read, as long as there is capacity. */
    void add(ByteBuffer read, boolean last) {
        ended |= last;
        int length = read.remaining();
        if (!complete || length == 0) {
            return;
        }
        if (reservedBytes + length > maxBytes || !budget.tryReserve(length)) {
            discard();
            return;
        }
        reservedBytes += length;
        byte[] copy = new byte[length];
        read.duplicate().get(copy);
        bytes.writeBytes(copy);
    }

    /** Whether all that was read can be sent again. */
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

    /** Gives its bytes back; from then on nothing is retained. */
    void discard() {
        budget.release(reservedBytes);
        reservedBytes = 0;
        bytes = new ByteArrayOutputStream(0);
        complete = false;
    }
}
