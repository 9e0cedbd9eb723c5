package linenring.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates how many entries are queued in the channel to the proxies. The channel exports no queue length: it states
 * its rate, and proxies acknowledge messages. The estimate keeps the queue within {@link
 * PlannerSettings.Channel#maxQueuedEntries}.
 *
 * <p>A sent message counts as queued until one of these conditions holds:
 *
 * <ol>
 *   <li>The message is acknowledged, by its own nonce or by that of a later message to the same proxy, and no older
 *       message on an open stream is unacknowledged. The older messages matter because a message can overtake others:
 *       the channel drops messages to closed streams, and later messages move up into the freed places.
 *   <li>The message is unacknowledged, and its stream has closed or a message sent later has been acknowledged: then
 *       the message is removed once the channel had time to send everything ahead of it, at the rate that
 *       acknowledgements have shown.
 *   <li>The message is unacknowledged, and neither of these signals has arrived: then the message is removed after a
 *       timeout.
 * </ol>
 *
 * <p>The estimate is too high where acknowledgements are lost on a fast channel: entries that have left the queue are
 * still counted, and writes are delayed.
 */
final class ChannelLedger {
    private final double entriesPerMs;
    private final double longestTransitMs;
    private final double maxQueueDelayMs;
    /** Messages that count as queued, in the order in which they were sent. */
    private final List<SentMessage> messages = new ArrayList<>();

    private double queuedEntries;
    private double latestAcknowledgedSentAtMs;

    /**
     * Creates an empty ledger.
     *
     * @param maxQueueDelayMs time after which an unacknowledged message is taken to have left the queue
     */
    ChannelLedger(PlannerSettings.Channel channel, double maxQueueDelayMs) {
        entriesPerMs = channel.entriesPerMs();
        longestTransitMs = channel.longestTransitMs();
        this.maxQueueDelayMs = maxQueueDelayMs;
    }

    /** Number of entries in the channel queue, including the reserved ones. */
    double queuedEntries() {
        return queuedEntries;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Adds entries of messages that are still being written; the next {@link #update} discards these reservations. */
    void reserve(double entries) {
        queuedEntries += entries;
    }

    SentMessage recordSent(int nonce, double nowMs, double entries) {
        queuedEntries += entries;
        SentMessage message = new SentMessage(nonce, nowMs, entries, nowMs + queuedEntries / entriesPerMs);
        messages.add(message);
        return message;
    }

    /**
     * Derives the actual speed of the channel from the time that an acknowledgement took, and applies it to the
     * acknowledged message and all messages sent at the same time or later.
     */
    void recordAcknowledgement(SentMessage message, double tookMs) {
        latestAcknowledgedSentAtMs = Math.max(latestAcknowledgedSentAtMs, message.sentAtMs());
        double expectedMs = message.expectedDepartureMs() - message.sentAtMs() + longestTransitMs;
        double slowdown = Math.max(1, tookMs / expectedMs);
        for (SentMessage sentMessage : messages) {
            if (sentMessage.sentAtMs() >= message.sentAtMs()) {
                sentMessage.setSlowdown(slowdown);
            }
        }
    }

    /** Removes the messages that have left the channel by this time, and recomputes the number of queued entries. */
    void update(double nowMs) {
        messages.removeIf(message ->
                !message.isAcknowledged() && nowMs > message.sentAtMs() + longestTransitMs + maxQueueDelayMs(message));
        double oldestUnacknowledgedMs = oldestUnacknowledgedSentAtMs(nowMs);
        messages.removeIf(message -> message.isAcknowledged() && message.sentAtMs() <= oldestUnacknowledgedMs);
        queuedEntries = messages.stream().mapToDouble(SentMessage::entries).sum();
    }

    private double oldestUnacknowledgedSentAtMs(double defaultMs) {
        for (SentMessage message : messages) {
            if (!message.isAcknowledged() && !message.isLost()) {
                return message.sentAtMs();
            }
        }
        return defaultMs;
    }

    private double maxQueueDelayMs(SentMessage message) {
        boolean hasProbablyLeft = message.isLost() || message.sentAtMs() < latestAcknowledgedSentAtMs;
        return hasProbablyLeft ? Math.min(maxQueueDelayMs, message.estimatedQueueDelayMs()) : maxQueueDelayMs;
    }
}
