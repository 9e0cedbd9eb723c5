package linenring.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * The beginning of a request's body, kept so that it can be sent a second time. Past its bound, or that of all bodies
 * together, nothing is kept, and the invocation has the one try that is under way. Files would come here.
 */
final class RetainedBody {
    private final int most;
    private final BufferBudget room;
    private ByteArrayOutputStream kept = new ByteArrayOutputStream(0);
    private int taken;
    private boolean whole = true; // all that was read is kept
    private boolean ended;

    RetainedBody(int most, BufferBudget room) {
        this.most = most;
        this.room = room;
    }

    /** Takes a copy of what was read, as long as there is room. */
    void add(ByteBuffer bytes, boolean last) {
        ended |= last;
        int more = bytes.remaining();
        if (!whole || more == 0) {
            return;
        }
        if (taken + more > most || !room.take(more)) {
            letGo();
            whole = false;
            return;
        }
        taken += more;
        byte[] copy = new byte[more];
        bytes.duplicate().get(copy);
        kept.writeBytes(copy);
    }

    /** Whether all that was read can be sent again. */
    boolean isWhole() {
        return whole;
    }

    boolean hasEnded() {
        return ended;
    }

    byte[] bytes() {
        return kept.toByteArray();
    }

    void letGo() {
        room.giveBack(taken);
        taken = 0;
        kept = new ByteArrayOutputStream(0);
        whole = false;
    }
}
