package linenring.planner;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * State of one proxy as known to the planner: the tables it is bound to, its request rate and its unacknowledged
 * messages.
 */
final class ProxyState {
    private final int id;
    private final double[] requestsPerSecond = new double[Integer.SIZE];
    /** Messages without an acknowledgement, in the order in which they were sent. */
    private final ArrayDeque<SentMessage> unacknowledged = new ArrayDeque<>();
    /**
     * Times at which messages were sent, for the message limit; kept when the proxy rejoins, since the limit spans a
     * rejoin.
     */
    private final ArrayDeque<Double> sentTimesMs = new ArrayDeque<>();

    /** The bound table in place of each full table; null where this controller has not bound the proxy. */
    private EndpointTable[] boundTables = {};

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

    /** Total requests per second, as stated by the proxy when it joined. */
    double usualRequestsPerSecond() {
        return usualRequestsPerSecond;
    }

    /** Requests per second for one operation, smoothed over the proxy's load reports. */
    double requestsPerSecond(int operation) {
        return requestsPerSecond[operation];
    }

    /**
     * Updates the smoothed request rate of an operation; {@code smoothing} is the weight of the newly reported rate.
     */
    void smoothRequestRate(int operation, double reportedPerSecond, double smoothing) {
        requestsPerSecond[operation] += smoothing * (reportedPerSecond - requestsPerSecond[operation]);
    }

    /** Records that the proxy has opened a new stream; this controller has not bound it to any table yet. */
    void join(int newZone, double usualRate, int fullTableCount) {
        zone = newZone;
        usualRequestsPerSecond = usualRate;
        boundTables = new EndpointTable[fullTableCount];
    }

    /**
     * Returns the table that the proxy uses in place of the given full table, or null if this controller has not
     * bound it yet.
     */
    EndpointTable boundTable(int fullTableIndex) {
        return boundTables[fullTableIndex];
    }

    /**
     * Whether the proxy still uses a table that this controller has not bound it to: a default table, or another
     * controller's.
     */
    boolean isAwaitingFirstBind() {
        return Arrays.asList(boundTables).contains(null);
    }

    void bind(EndpointTable table) {
        bind(table.fullTableIndex(), table);
    }

    private void bind(int fullTableIndex, EndpointTable table) {
        if (boundTables[fullTableIndex] != null) {
            boundTables[fullTableIndex].removeBoundProxy(this);
        }
        boundTables[fullTableIndex] = table;
        if (table != null) {
            table.addBoundProxy(this);
        }
    }

    /**
     * Whether the proxy may hold an entry for the host. A default table or a table of another controller may have an
     * entry for any host.
     */
    boolean mayHold(Host host) {
        return Arrays.stream(boundTables).anyMatch(table -> table == null || table.holds(host));
    }

    /** Number of entries in the message that is being written to the proxy. */
    double entriesBeingWritten() {
        return entriesBeingWritten;
    }

    boolean hasMessageBeingWritten() {
        return entriesBeingWritten > 0;
    }

    void addEntries(double entries) {
        entriesBeingWritten += entries;
    }

    void recordSent(SentMessage message) {
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

    /** Returns the time at which the oldest unacknowledged message was sent; fails if there is no such message. */
    double oldestUnacknowledgedSentAtMs() {
        return unacknowledged.peek().sentAtMs();
    }

    /**
     * Marks the message with this nonce and all earlier messages as acknowledged; returns that message, or null if
     * the nonce is unknown.
     */
    SentMessage acknowledge(int nonce) {
        if (unacknowledged.stream().noneMatch(message -> message.nonce() == nonce)) {
            return null;
        }
        SentMessage message;
        do {
            message = unacknowledged.poll();
            unacknowledgedEntries -= message.entries();
            message.markAcknowledged();
        } while (message.nonce() != nonce);
        return message;
    }

    /**
     * Records that the proxy's stream has closed: unacknowledged messages are lost, and the tables that the proxy
     * holds are no longer known.
     */
    void disconnect() {
        unacknowledged.forEach(SentMessage::markLost);
        unacknowledged.clear();
        for (int i = 0; i < boundTables.length; i++) {
            bind(i, null);
        }
        entriesBeingWritten = 0;
        unacknowledgedEntries = 0;
    }

    /** Number of messages sent to the proxy after the given time; later calls must not pass an earlier time. */
    int messagesSentSince(double timeMs) {
        sentTimesMs.removeIf(sentAtMs -> sentAtMs <= timeMs);
        return sentTimesMs.size();
    }
}
