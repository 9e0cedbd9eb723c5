package linenring.stream;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import linenring.protocol.InboundMessage;

/** The updates that one proxy has not acknowledged yet, oldest first. Not thread-safe: guarded by its connection. */
final class OutstandingNonces {
    /** A proxy is not sent as many in half a minute; of more the oldest are forgotten. */
    private static final int MAX_OUTSTANDING = 1024;

    /** How far a proxy's clock may run apart from ours over the time that it measures. */
    private static final long CLOCK_TOLERANCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final double NANOS_PER_MS = 1e6;

    private record Outstanding(int nonce, long sentAtNanos) {}

    private final ArrayDeque<Outstanding> outstanding = new ArrayDeque<>();

    /** An update with this nonce is sent now. */
    void recordSent(int nonce, long nowNanos) {
        if (outstanding.size() == MAX_OUTSTANDING) {
            outstanding.poll();
        }
        outstanding.add(new Outstanding(nonce, nowNanos));
    }

    /**
     * Removes the acknowledged update and those before it, which are applied too. An acknowledgement that names an unknown
     * nonce or an impossible time is rejected: taken at its word, it would free room in the channel's ledger that is not free.
     */
    void acknowledge(InboundMessage.Acknowledgement acknowledgement, long nowNanos) throws MessageRejectedException {
        Outstanding found = outstanding.stream()
                .filter(update -> update.nonce() == acknowledgement.nonce())
                .findFirst()
                .orElseThrow(() -> new MessageRejectedException("no acknowledgement of nonce " + acknowledgement.nonce()
                        + " is due from proxy " + acknowledgement.proxy()));
        long mostNanos = nowNanos - found.sentAtNanos() + CLOCK_TOLERANCE_NANOS;
        if (acknowledgement.elapsedMs() * NANOS_PER_MS > mostNanos) {
            throw new MessageRejectedException(
                    "field ms: " + acknowledgement.elapsedMs() + " is more than has passed since the update was sent");
        }
        while (!outstanding.remove().equals(found)) {
            // an acknowledgement that was lost is made up for by the next one
        }
    }
}
