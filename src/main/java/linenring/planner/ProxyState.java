package linenring.planner;

import java.util.ArrayDeque;
import java.util.Arrays;

/** What the planner knows of one proxy: its tables, its demand and its unacknowledged messages. */
final class ProxyState {
    private final int id;
    private final double[] requestsPerSecond = new double[Integer.SIZE];
    /** In the order in which they were sent. */
    private final ArrayDeque<SentMessage> unacknowledged = new ArrayDeque<>();
    /** When the messages that the message limit counts were sent; the limit counts over a rejoin. */
    private final ArrayDeque<Double> sentTimesMs = new ArrayDeque<>();

    private EndpointTable[] bound = {};
    private int zone;
    private double usualRequestsPerSecond;
    private double entriesBeingWritten;
    private double unacknowledgedEntries;

    ProxyState(int id) {
        this.id = id;
    }

    int id() {
        return id;
    }

    int zone() {
        return zone;
    }

    /** Requests a second in all, as stated when it joined. */
    double usualRequestsPerSecond() {
        return usualRequestsPerSecond;
    }

    /** Requests a second of one operation, smoothed over its reports. */
    double requestsPerSecond(int operation) {
        return requestsPerSecond[operation];
    }

    /** Moves the rate of an operation by that part of its difference to the reported rate. */
    void smoothRequestRate(int operation, double reportedPerSecond, double smoothing) {
        requestsPerSecond[operation] += smoothing * (reportedPerSecond - requestsPerSecond[operation]);
    }

    /** It has a new stream and is bound to none of this controller's tables yet. */
    void join(int newZone, double usualRate, int fullTables) {
        zone = newZone;
        usualRequestsPerSecond = usualRate;
        bound = new EndpointTable[fullTables];
    }

    /** The table that it is bound to in place of this full table, or null for one that this controller did not give it. */
    EndpointTable boundTo(int fullTable) {
        return bound[fullTable];
    }

    /** Whether it holds a table that this controller did not give it. */
    boolean isNewcomer() {
        return Arrays.asList(bound).contains(null);
    }

    void bind(EndpointTable table) {
        bind(table.fullTable(), table);
    }

    private void bind(int fullTable, EndpointTable table) {
        if (bound[fullTable] != null) {
            bound[fullTable].removeUser(this);
        }
        bound[fullTable] = table;
        if (table != null) {
            table.addUser(this);
        }
    }

    /** Whether a table that it is bound to has an entry for the host; another controller's table, or its default one, may have any host. */
    boolean mayHold(Host host) {
        return Arrays.stream(bound).anyMatch(table -> table == null || table.holds(host));
    }

    /** Entries of the message that is being written to it. */
    double entriesBeingWritten() {
        return entriesBeingWritten;
    }

    boolean hasMessageBeingWritten() {
        return entriesBeingWritten > 0;
    }

    void addEntries(double entries) {
        entriesBeingWritten += entries;
    }

    void sent(SentMessage message) {
        unacknowledgedEntries += message.entries();
        unacknowledged.add(message);
        sentTimesMs.add(message.sentAtMs());
        entriesBeingWritten = 0;
    }

    int unacknowledgedMessages() {
        return unacknowledged.size();
    }

    double unacknowledgedEntries() {
        return unacknowledgedEntries;
    }

    /** When the oldest unacknowledged message was sent; only where there is one. */
    double oldestUnacknowledgedSentAtMs() {
        return unacknowledged.peek().sentAtMs();
    }

    /** Takes the message with this nonce and all before it as acknowledged; that message, or null if there is none. */
    SentMessage acknowledge(int nonce) {
        if (unacknowledged.stream().noneMatch(message -> message.nonce() == nonce)) {
            return null;
        }
        SentMessage message;
        do {
            message = unacknowledged.poll();
            unacknowledgedEntries -= message.entries();
            message.acknowledge();
        } while (message.nonce() != nonce);
        return message;
    }

    /** Its stream has ended: nothing that it was sent is acknowledged any more, and its tables are not known. */
    void disconnect() {
        unacknowledged.forEach(SentMessage::lose);
        unacknowledged.clear();
        for (int i = 0; i < bound.length; i++) {
            bind(i, null);
        }
        entriesBeingWritten = 0;
        unacknowledgedEntries = 0;
    }

    /** How many messages it was sent after that time; asked with times that do not go back. */
    int messagesSentSince(double timeMs) {
        sentTimesMs.removeIf(sentAtMs -> sentAtMs <= timeMs);
        return sentTimesMs.size();
    }
}
