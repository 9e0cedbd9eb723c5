package linenring.controller;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Optional;
import java.util.function.IntPredicate;
import linenring.event.ProxyStream;
import linenring.protocol.ConfigurationUpdate;

/** The session of one proxy: its stream, the tables it is bound to, and its ejections. Owned by the control loop's thread. */
final class ProxySession {
    /** Table number that represents a table the proxy already held when it subscribed. This table may contain any host. */
    static final int INHERITED_TABLE = -1;

    private final int id;
    private final int[] tableByOperation;
    private final BitSet newlyBoundOperations = new BitSet();
    private final EjectionRecord ejections = new EjectionRecord();
    private ProxyStream stream; // null while the proxy is disconnected
    private ConfigurationUpdate preparedUpdate; // null until an update is prepared

    ProxySession(int id, int operationCount) {
        this.id = id;
        tableByOperation = new int[operationCount];
        Arrays.fill(tableByOperation, INHERITED_TABLE);
    }

    int id() {
        return id;
    }

    EjectionRecord ejections() {
        return ejections;
    }

    boolean isConnected() {
        return stream != null;
    }

    boolean usesStream(ProxyStream other) {
        return stream == other;
    }

    /** Returns the proxy's stream, or null while the proxy is disconnected. */
    ProxyStream stream() {
        return stream;
    }

    /** Starts a session on the stream of a new subscription, which may be the previous stream. */
    void connect(ProxyStream newStream, boolean isNew, ProxyStream previousStream) {
        stream = newStream;
        ejections.resetForSubscription(isNew, previousStream == newStream);
    }

    /**
     * Ends the session with its stream: unbinds the proxy from all tables of this controller and discards its prepared update.
     */
    void disconnect() {
        stream = null;
        preparedUpdate = null;
        Arrays.fill(tableByOperation, INHERITED_TABLE);
        newlyBoundOperations.clear();
    }

    void bind(int operation, int table) {
        tableByOperation[operation] = table;
        newlyBoundOperations.set(operation);
    }

    /** Returns the number of the table bound to an operation, or {@link #INHERITED_TABLE}. */
    int table(int operation) {
        return tableByOperation[operation];
    }

    /** Whether the operation was bound to its table since the last update, so that the complete table must be sent. */
    boolean isNewlyBound(int operation) {
        return newlyBoundOperations.get(operation);
    }

    boolean usesTable(int table) {
        return isConnected() && Arrays.stream(tableByOperation).anyMatch(bound -> bound == table);
    }

    /** Whether any of the proxy's tables passes the test. An inherited table passes, as its contents are unknown. */
    boolean mayHoldTable(IntPredicate test) {
        return Arrays.stream(tableByOperation).anyMatch(table -> table == INHERITED_TABLE || test.test(table));
    }

    void clearNewlyBound() {
        newlyBoundOperations.clear();
    }

    void prepare(ConfigurationUpdate update) {
        preparedUpdate = update;
    }

    Optional<ConfigurationUpdate> preparedUpdate() {
        return Optional.ofNullable(preparedUpdate);
    }

    void send(ConfigurationUpdate update) {
        stream.write(update);
        preparedUpdate = null;
    }
}
