package linenring.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * The account of what waits in the channel, in lines. A message waits until its proxy answers it or a later one, and counts
 * until all older ones have left: in the room of lost ones it may overtake them. Where no answer comes it has left once the
 * channel had time for all ahead of it, as slow as it last was, and its stream ended or a later message was answered.
 */
final class ChannelLedger {
    private final double linesPerMs;
    private final double transitMost;
    private final double longestWait;
    /** In the order in which they were sent. */
    private final List<SentMessage> messages = new ArrayList<>();

    private double waiting;
    /** When the latest message that was answered was sent. */
    private double answeredUpTo;

    /** The longest wait is that of a message that nothing tells of, in milliseconds. */
    ChannelLedger(PlannerSettings.Channel channel, double longestWait) {
        linesPerMs = channel.linesPerMs();
        transitMost = channel.transitMost();
        this.longestWait = longestWait;
    }

    /** Lines that wait, those that are reserved included. */
    double waiting() {
        return waiting;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Counts lines of messages that are being made; the next {@link #update} forgets them. */
    void reserve(double lines) {
        waiting += lines;
    }

    SentMessage send(int mark, double now, double lines) {
        waiting += lines;
        SentMessage message = new SentMessage(mark, now, lines, now + waiting / linesPerMs);
        messages.add(message);
        return message;
    }

    /** Takes an answer as proof of how slow the channel was for what was sent with that message and after it. */
    void acknowledged(SentMessage message, double tookMs) {
        answeredUpTo = Math.max(answeredUpTo, message.sentAt);
        double slowdown = Math.max(1, tookMs / (message.leavesBy - message.sentAt + transitMost));
        for (SentMessage other : messages) {
            if (other.sentAt >= message.sentAt) {
                other.slowdown = slowdown;
            }
        }
    }

    /** Takes out what has left by now. */
    void update(double now) {
        messages.removeIf(m -> !m.acknowledged && now > m.sentAt + transitMost + longestWait(m));
        double oldest = oldestUnanswered(now);
        messages.removeIf(m -> m.acknowledged && m.sentAt <= oldest);
        waiting = messages.stream().mapToDouble(m -> m.lines).sum();
    }

    private double oldestUnanswered(double otherwise) {
        for (SentMessage message : messages) {
            if (!message.acknowledged && !message.lost) {
                return message.sentAt;
            }
        }
        return otherwise;
    }

    private double longestWait(SentMessage message) {
        boolean mustHaveLeft = message.lost || message.sentAt < answeredUpTo;
        double shown = message.slowdown * (message.leavesBy - message.sentAt);
        return mustHaveLeft ? Math.min(longestWait, shown) : longestWait;
    }
}
