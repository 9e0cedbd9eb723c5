package linenring.stream;

/**
 * The bytes that lines in progress occupy beyond each connection's initial buffer, over all connections. Without this
 * limit a few peers that begin long lines and never end them would fill the heap, though each keeps to its own limit.
 * Thread-safe: guarded by its own monitor.
 */
final class LineMemoryLimit {
    /** A third of the heap that the documented start command gives. */
    private static final int MAX_RESERVED_BYTES = 16 << 20;

    private int reservedBytes; // @GuardedBy("this")

    /** Reserves so many bytes; false, and nothing is reserved, where the limit would be passed. */
    synchronized boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > MAX_RESERVED_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Gives back what was reserved. */
    synchronized void release(int bytes) {
        reservedBytes -= bytes;
    }
}
