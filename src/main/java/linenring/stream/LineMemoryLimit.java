package linenring.stream;

/**
 * Limits the memory of unfinished lines over all connections, beyond each connection's initial buffer. Without this limit a few
 * peers with long unfinished lines would fill the heap, even though each stays within the line limit of its connection.
 * Thread-safe: guarded by its own monitor.
 */
final class LineMemoryLimit {
    /** Limit of the reserved memory: a third of the heap size in the documented start command. */
    private static final int MAX_RESERVED_BYTES = 16 << 20;

    private int reservedBytes; // @GuardedBy("this")

    /** Reserves memory; returns false without reserving any if the limit would be exceeded. */
    synchronized boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > MAX_RESERVED_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved memory. */
    synchronized void release(int bytes) {
        reservedBytes -= bytes;
    }
}
