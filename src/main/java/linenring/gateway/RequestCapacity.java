package linenring.gateway;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits what all active requests hold together: their number and the flow-control windows of their streams.
 *
 * <p>It guards against running out of memory when hosts or clients are slow; that shows as a number of active requests
 * that only grows. A request reserves its windows before it begins, so that memory is bounded whatever comes. It does
 * harm where the limits are lower than what the machine could carry: requests are then answered 503. Thread-safe.
 */
final class RequestCapacity {
    private final int maxActive;
    private final BufferBudget buffers;
    private final AtomicInteger active = new AtomicInteger();

    RequestCapacity(int maxActive, long maxBufferBytes) {
        this.maxActive = maxActive;
        buffers = new BufferBudget(maxBufferBytes);
    }

    /** Reserves a place and {@code bufferBytes}, or nothing. */
    boolean tryAcquire(long bufferBytes) {
        if (active.incrementAndGet() > maxActive || !buffers.tryReserve(bufferBytes)) {
            active.decrementAndGet();
            return false;
        }
        return true;
    }

    void release(long bufferBytes) {
        active.decrementAndGet();
        buffers.release(bufferBytes);
    }

    int active() {
        return active.get();
    }
}
