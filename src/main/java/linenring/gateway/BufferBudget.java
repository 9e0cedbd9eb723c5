package linenring.gateway;

/** Bytes that may be held by all requests together. Thread-safe. */
final class BufferBudget {
    private final long maxBytes;
    private long reservedBytes; // guarded by this

    BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** False, and nothing is reserved, where fewer bytes are left. */
    synchronized boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    synchronized void release(long bytes) {
        reservedBytes -= bytes;
    }

    synchronized long reservedBytes() {
        return reservedBytes;
    }
}
