package linenring.planner;

import java.util.ArrayDeque;
import java.util.Arrays;

/** What the planner holds of one proxy. */
final class Proxy {
    final int id;
    int zone;
    /** The table that it is bound to, by full table; null for none. */
    Table[] bound = {};
    /** Requests a second, by operation. */
    final double[] requestRate = new double[Integer.SIZE];
    /** Requests a second in all, as told when it joined. */
    double usualRate;
    /** Lines of the message that is being made. */
    double freshLines;
    /** Lines of all messages that are not answered yet. */
    double unansweredLines;

    /** In the order in which they were sent. */
    final ArrayDeque<SentMessage> unanswered = new ArrayDeque<>();
    /** When the messages that the cap counts were sent, in milliseconds. */
    private final ArrayDeque<Double> sentTimes = new ArrayDeque<>();

    Proxy(int id) {
        this.id = id;
    }

    /** Whether it holds a table that this steward did not give it. */
    boolean isNewcomer() {
        return Arrays.asList(bound).contains(null);
    }

    void bind(int base, Table table) {
        if (bound[base] != null) {
            bound[base].users.remove(this);
        }
        bound[base] = table;
        if (table != null) {
            table.users.add(this);
        }
    }

    /** Whether a table that it is bound to has a line for the host; any host may be in one that is not ours. */
    boolean mayHold(Host host) {
        return Arrays.stream(bound).anyMatch(table -> table == null || table.holds(host));
    }

    void sent(SentMessage message) {
        unansweredLines += message.lines;
        unanswered.add(message);
        sentTimes.add(message.sentAt);
        freshLines = 0;
    }

    /** Takes the message with this mark and all before it as answered; the one with the mark, or null if there is none. */
    SentMessage acknowledge(int mark) {
        if (unanswered.stream().noneMatch(m -> m.mark == mark)) {
            return null;
        }
        SentMessage message;
        do {
            message = unanswered.poll();
            unansweredLines -= message.lines;
            message.acknowledged = true;
        } while (message.mark != mark);
        return message;
    }

    /** Its stream has ended: nothing that it was sent is answered any more. */
    void disconnect() {
        unanswered.forEach(m -> m.lost = true);
        unanswered.clear();
        for (int base = 0; base < bound.length; base++) {
            bind(base, null);
        }
        freshLines = 0;
        unansweredLines = 0;
    }

    /** How many messages it was sent after that time. */
    int sentSince(double time) {
        sentTimes.removeIf(at -> at <= time);
        return sentTimes.size();
    }
}
