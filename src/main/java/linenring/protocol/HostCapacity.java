package linenring.protocol;

/** How many hosts a heap has room for, so that a list that does not fit is refused while it is read. */
public final class HostCapacity {
    /** Streams, tables and the JVM's own; what is left is for hosts. */
    static final long RESERVED_BYTES = 16L << 20;

    /** A host in the list being read, in the list before it, and in what the decisions keep. Measured, see docs/design/scope.md. */
    static final long BYTES_A_HOST = 640;

    /** A heap however small takes as many as stewards must bear. */
    static final int LEAST = 1024;

    private HostCapacity() {}

    /** The most hosts for this process's heap. */
    public static int ofThisProcess() {
        return of(Runtime.getRuntime().maxMemory());
    }

    /** The most hosts for a heap of so many bytes. */
    static int of(long heapBytes) {
        long hosts = (heapBytes - RESERVED_BYTES) / BYTES_A_HOST;
        return (int) Math.max(LEAST, Math.min(Integer.MAX_VALUE, hosts));
    }
}
