package linenring.gateway;

/** Limits the number of bytes that all requests together may buffer. Thread-safe. */
final class BufferBudget {
    private final long maxBytes;
    private long reservedBytes; // guarded by this

    BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves the bytes and returns true, or reserves nothing and returns false if fewer bytes are left. */
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
