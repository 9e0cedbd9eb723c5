package linenring.gateway;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of active requests and the total memory of their headers and flow-control windows. Thread-safe.
 *
 * <p>The limits guard against running out of memory when slow hosts or clients make the number of active requests grow
 * without bound. A request reserves its memory before it begins, so that the buffered data always fits into memory.
 * Limits below the capacity of the machine cause unnecessary 503 responses.
 */
final class RequestCapacity {
    private final int maxActiveRequests;
    private final BufferBudget bufferBudget;
    private final AtomicInteger activeRequests = new AtomicInteger();
    private volatile boolean isExhausted;

    RequestCapacity(int maxActive, long maxBufferBytes) {
        this.maxActiveRequests = maxActive;
        bufferBudget = new BufferBudget(maxBufferBytes);
    }

    /** Reserves capacity for one request and its {@code bufferBytes}, or reserves nothing and returns false. */
    boolean tryAcquire(long bufferBytes) {
        if (activeRequests.incrementAndGet() > maxActiveRequests || !bufferBudget.tryReserve(bufferBytes)) {
            activeRequests.decrementAndGet();
            isExhausted = true;
            return false;
        }
        isExhausted = false;
        return true;
    }

    /** Whether the latest request has found no capacity. */
    boolean isExhausted() {
        return isExhausted;
    }

    void release(long bufferBytes) {
        activeRequests.decrementAndGet();
        bufferBudget.release(bufferBytes);
    }

    int activeRequests() {
        return activeRequests.get();
    }
}
