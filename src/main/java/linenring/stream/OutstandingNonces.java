package linenring.stream;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import linenring.protocol.InboundMessage;

/** The updates that a proxy has not acknowledged yet, oldest first. Not thread-safe: guarded by the proxy's connection. */
final class OutstandingNonces {
    /** Maximum number of outstanding updates, more than a proxy is sent in half a minute; beyond it the oldest are forgotten. */
    private static final int MAX_OUTSTANDING = 1024;

    /** Allowed difference between a duration measured by a proxy's clock and by this process's clock. */
    private static final long CLOCK_TOLERANCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final double NANOS_PER_MS = 1e6;

    private record OutstandingUpdate(int nonce, long sentAtNanos) {}

    private final ArrayDeque<OutstandingUpdate> unacknowledgedUpdates = new ArrayDeque<>();

    /** Records that an update with this nonce is being sent. */
    void recordSent(int nonce, long nowNanos) {
        if (unacknowledgedUpdates.size() == MAX_OUTSTANDING) {
            unacknowledgedUpdates.poll();
        }
        unacknowledgedUpdates.add(new OutstandingUpdate(nonce, nowNanos));
    }

    /**
     * Removes the acknowledged update and all updates before it, which the proxy has applied too. An acknowledgement with an
     * unknown nonce or an impossible duration is rejected, since it would release capacity of the update channel that is still
     * in use.
     */
    void acknowledge(InboundMessage.Acknowledgement acknowledgement, long nowNanos) throws MessageRejectedException {
        OutstandingUpdate acknowledgedUpdate = unacknowledgedUpdates.stream()
                .filter(update -> update.nonce() == acknowledgement.nonce())
                .findFirst()
                .orElseThrow(() -> new MessageRejectedException("unexpected acknowledgement of nonce "
                        + acknowledgement.nonce() + " from proxy " + acknowledgement.proxy()));
        long maxElapsedNanos = nowNanos - acknowledgedUpdate.sentAtNanos() + CLOCK_TOLERANCE_NANOS;
        if (acknowledgement.elapsedMs() * NANOS_PER_MS > maxElapsedNanos) {
            throw new MessageRejectedException(
                    "field ms: " + acknowledgement.elapsedMs() + " exceeds the time since the update was sent");
        }
        while (!unacknowledgedUpdates.remove().equals(acknowledgedUpdate)) {
            // the next acknowledgement also covers updates whose acknowledgement was lost
        }
    }
}
