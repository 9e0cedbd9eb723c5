package linenring.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * The account of what waits in the channel to the proxies, in entries. It guards against a queue that is fuller than its limit,
 * {@link PlannerSettings.Channel#maxQueuedEntries}: the channel carries its stated rate and reports nothing but acknowledgements.
 *
 * <p>A message that was sent counts as waiting until one of these holds:
 *
 * <ol>
 *   <li>It is acknowledged, by itself or by a later message to its proxy, and no older message is still without an
 *       acknowledgement on a stream that lives. The older one is waited for since a message may overtake others: it moves up
 *       where messages to broken streams are dropped.
 *   <li>It is not acknowledged, and its stream has ended or a message sent later has been acknowledged: once the channel had time
 *       for all ahead of it, at the pace that acknowledgements have shown.
 *   <li>It is not acknowledged, and nothing else is known: after the longest wait.
 * </ol>
 *
 * <p>The account could do harm where acknowledgements are lost and the channel is fast: then it counts entries that have left, and
 * writes wait.
 */
final class ChannelLedger {
    private final double entriesPerMs;
    private final double longestTransitMs;
    private final double longestWaitMs;
    /** In the order in which they were sent. */
    private final List<SentMessage> messages = new ArrayList<>();

    private double waitingEntries;
    private double latestAcknowledgedSentAtMs;

    /** The longest wait is that of a message of which nothing is known. */
    ChannelLedger(PlannerSettings.Channel channel, double longestWaitMs) {
        entriesPerMs = channel.entriesPerMs();
        longestTransitMs = channel.longestTransitMs();
        this.longestWaitMs = longestWaitMs;
    }

    /** Entries that wait, those that are reserved included. */
    double waitingEntries() {
        return waitingEntries;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Counts entries of messages that are being written; the next {@link #update} forgets them. */
    void reserve(double entries) {
        waitingEntries += entries;
    }

    SentMessage send(int nonce, double nowMs, double entries) {
        waitingEntries += entries;
        SentMessage message = new SentMessage(nonce, nowMs, entries, nowMs + waitingEntries / entriesPerMs);
        messages.add(message);
        return message;
    }

    /** Takes an acknowledgement as proof of how slow the channel was for what was sent with that message and after it. */
    void acknowledged(SentMessage message, double tookMs) {
        latestAcknowledgedSentAtMs = Math.max(latestAcknowledgedSentAtMs, message.sentAtMs());
        double statedMs = message.leavesByMs() - message.sentAtMs() + longestTransitMs;
        double slowdown = Math.max(1, tookMs / statedMs);
        for (SentMessage other : messages) {
            if (other.sentAtMs() >= message.sentAtMs()) {
                other.slowedBy(slowdown);
            }
        }
    }

    /** Removes what has left by now. */
    void update(double nowMs) {
        messages.removeIf(message ->
                !message.isAcknowledged() && nowMs > message.sentAtMs() + longestTransitMs + longestWaitMs(message));
        double oldestMs = oldestUnacknowledgedSentAtMs(nowMs);
        messages.removeIf(message -> message.isAcknowledged() && message.sentAtMs() <= oldestMs);
        waitingEntries = messages.stream().mapToDouble(SentMessage::entries).sum();
    }

    private double oldestUnacknowledgedSentAtMs(double otherwiseMs) {
        for (SentMessage message : messages) {
            if (!message.isAcknowledged() && !message.isLost()) {
                return message.sentAtMs();
            }
        }
        return otherwiseMs;
    }

    private double longestWaitMs(SentMessage message) {
        boolean mustHaveLeft = message.isLost() || message.sentAtMs() < latestAcknowledgedSentAtMs;
        return mustHaveLeft ? Math.min(longestWaitMs, message.observedWaitMs()) : longestWaitMs;
    }
}
