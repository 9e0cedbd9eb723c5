package linenring.stream;

/**
 * The bytes that lines in progress occupy beyond each connection's initial buffer, over all connections. Without this
 * limit a few peers that begin long lines and never end them would fill the heap, though each keeps to its own limit.
 * Thread-safe: guarded by its own monitor.
 */
final class LineMemory {
    /** A third of the heap that the documented start command gives. */
    private static final int MAX_HELD_BYTES = 16 << 20;

    private int heldBytes; // @GuardedBy("this")

    /** Reserves so many bytes; false, and nothing is reserved, where the limit would be passed. */
    synchronized boolean tryReserve(int bytes) {
        if (heldBytes + bytes > MAX_HELD_BYTES) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** Gives back what was reserved. */
    synchronized void release(int bytes) {
        heldBytes -= bytes;
    }
}
