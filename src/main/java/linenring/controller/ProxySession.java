package linenring.controller;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Optional;
import java.util.function.IntPredicate;
import linenring.event.ProxyStream;
import linenring.protocol.ConfigurationUpdate;

/** One proxy: its stream, the tables that it is bound to, and its ejections. Owned by the control loop's thread. */
final class ProxySession {
    /** Stands for the table that the proxy holds from before it subscribed; any host may be in it. */
    static final int INHERITED_TABLE = -1;

    private final int id;
    private final int[] tableByOperation;
    private final BitSet newlyBoundOperations = new BitSet();
    private final EjectionRecord ejections = new EjectionRecord();
    private ProxyStream stream; // null while it is disconnected
    private ConfigurationUpdate preparedUpdate; // null until it is built

    ProxySession(int id, int operations) {
        this.id = id;
        tableByOperation = new int[operations];
        Arrays.fill(tableByOperation, INHERITED_TABLE);
    }

    int id() {
        return id;
    }

    EjectionRecord ejections() {
        return ejections;
    }

    // ---- the stream

    boolean isConnected() {
        return stream != null;
    }

    boolean isOn(ProxyStream other) {
        return stream == other;
    }

    /** Its stream, or null while it is disconnected. */
    ProxyStream stream() {
        return stream;
    }

    /** The proxy has subscribed on this stream, which may be the one that it had. */
    void connect(ProxyStream newStream, boolean isNew, ProxyStream previous) {
        stream = newStream;
        ejections.restart(isNew, previous == newStream);
    }

    /** Its stream has ended: it is bound to none of this controller's tables, and what was prepared for it is dropped. */
    void disconnect() {
        stream = null;
        preparedUpdate = null;
        Arrays.fill(tableByOperation, INHERITED_TABLE);
        newlyBoundOperations.clear();
    }

    // ---- its tables

    void bind(int operation, int table) {
        tableByOperation[operation] = table;
        newlyBoundOperations.set(operation);
    }

    /** The table of an operation, or {@link #INHERITED_TABLE}. */
    int table(int operation) {
        return tableByOperation[operation];
    }

    /** Whether the operation was bound since the last update, so that its table must be sent in full. */
    boolean isNewlyBound(int operation) {
        return newlyBoundOperations.get(operation);
    }

    boolean uses(int table) {
        return isConnected() && Arrays.stream(tableByOperation).anyMatch(bound -> bound == table);
    }

    /** Whether a table that it holds passes the test, or one does that this controller does not know. */
    boolean mayHoldTable(IntPredicate test) {
        return Arrays.stream(tableByOperation).anyMatch(table -> table == INHERITED_TABLE || test.test(table));
    }

    void clearNewlyBound() {
        newlyBoundOperations.clear();
    }

    // ---- its next update

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
