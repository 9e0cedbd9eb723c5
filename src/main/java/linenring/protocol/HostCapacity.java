package linenring.protocol;

/** How many hosts a heap has room for, so that a list that does not fit is rejected while it is read. */
public final class HostCapacity {
    /** For streams, tables and the JVM's own; the rest of the heap is for hosts. */
    static final long RESERVED_BYTES = 16L << 20;

    /** A host in the list being read, in the list before it, and in the planner's state. Measured, see docs/design/scope.md. */
    static final long BYTES_PER_HOST = 640;

    /** The number of hosts that a controller must be able to serve, however small its heap. */
    static final int MIN_HOSTS = 1024;

    private HostCapacity() {}

    /** The most hosts for this process's heap. */
    public static int ofThisProcess() {
        return of(Runtime.getRuntime().maxMemory());
    }

    /** The most hosts for a heap of this size. */
    static int of(long heapBytes) {
        long hosts = (heapBytes - RESERVED_BYTES) / BYTES_PER_HOST;
        return (int) Math.max(MIN_HOSTS, Math.min(Integer.MAX_VALUE, hosts));
    }
}
