package linenring.gateway;

/** Bytes that may be held together; who asks for more than is left gets none. */
final class BufferBudget {
    private final long most;
    private long taken;

    BufferBudget(long most) {
        this.most = most;
    }

    synchronized boolean take(long bytes) {
        if (taken + bytes > most) {
            return false;
        }
        taken += bytes;
        return true;
    }

    synchronized void giveBack(long bytes) {
        taken -= bytes;
    }

    synchronized long taken() {
        return taken;
    }
}
