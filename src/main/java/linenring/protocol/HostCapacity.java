package linenring.protocol;

/** Computes the number of hosts that fit the heap, so that a larger host list is rejected while it is decoded. */
public final class HostCapacity {
    /** Heap reserved for streams, endpoint tables and the JVM itself; all other heap memory is available for hosts. */
    static final long RESERVED_BYTES = 16L << 20;

    /** Heap per host in the list being read, in the previous list and in the planner's state; see docs/design/scope.md. */
    static final long BYTES_PER_HOST = 640;

    /** Number of hosts that a controller must accept with any heap size. */
    static final int MIN_HOSTS = 1024;

    private HostCapacity() {}

    /** Returns the maximum number of hosts for this process's heap. */
    public static int ofThisProcess() {
        return of(Runtime.getRuntime().maxMemory());
    }

    /** Returns the maximum number of hosts for a heap of this size. */
    static int of(long heapBytes) {
        long hosts = (heapBytes - RESERVED_BYTES) / BYTES_PER_HOST;
        return (int) Math.max(MIN_HOSTS, Math.min(Integer.MAX_VALUE, hosts));
    }
}
