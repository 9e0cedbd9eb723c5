package linenring.controller;

import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.function.IntConsumer;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.Commands;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;
import linenring.protocol.RetryPolicyCode;

/**
 * The fleet's configuration as commanded by the planner: tables, bindings, ejections and admission policies. Collects the commands
 * of one round of the control loop; {@link #send} then sends each affected proxy one update. Owned by the control loop's thread.
 */
final class FleetState implements Commands {
    private final int operationCount;
    private final HostIdAllocator hostIds = new HostIdAllocator();
    private final EjectedHosts ejectedHosts = new EjectedHosts();
    private final PublishedTables tables;
    private final ProxySessions sessions;
    private final UpdateBuilder updateBuilder;
    private final Log log;
    private final PriorityQueue<Double> requestedCallsMs = new PriorityQueue<>();
    private int requestedNonce = ConfigurationUpdate.WITHOUT_NONCE;

    FleetState(List<String> operations, int proxyCount, Log log) {
        this.log = log;
        operationCount = operations.size();
        tables = new PublishedTables(operationCount);
        sessions = new ProxySessions(proxyCount, operationCount, log);
        updateBuilder = new UpdateBuilder(operations, hostIds, tables, ejectedHosts);
    }

    HostIdAllocator hostIds() {
        return hostIds;
    }

    /** Forgets a removed host that is in no table, and frees its id for another host. */
    void releaseHost(int host) {
        ejectedHosts.forget(host);
        sessions.forgetHost(host, hostIds.idLimit());
        hostIds.release(host);
    }

    /** Whether the stream is the proxy's current stream. */
    boolean isCurrentStream(int proxy, ProxyStream stream) {
        return sessions.get(proxy).usesStream(stream);
    }

    /** Whether the proxy's current stream was opened after the given stream. */
    boolean hasNewerStream(int proxy, ProxyStream stream) {
        return sessions.hasNewerStream(proxy, stream);
    }

    /** Returns the proxy whose current stream this is, or empty for a collector's stream and for a replaced stream. */
    OptionalInt findProxy(ProxyStream stream) {
        return sessions.findProxy(stream);
    }

    /** Makes this stream the proxy's current stream after a subscription, and closes a different previous stream. */
    void connect(int proxy, ProxyStream stream, boolean isNew) {
        sessions.connect(proxy, stream, isNew);
    }

    /** Marks the proxy as disconnected after its stream has ended. */
    void disconnect(int proxy) {
        sessions.disconnect(proxy);
    }

    @Override
    public void bindProxy(int table, int mask, int proxy) {
        ProxySession session = sessions.get(proxy);
        if (!session.isConnected()) {
            return; // the proxy disconnected in this round, after the planner's decision
        }
        forEachOperation(mask, operation -> session.bind(operation, table));
        sessions.markUpdateDue(session);
    }

    /** Runs the action for each operation in the mask; a mask of 0 means all operations. */
    private void forEachOperation(int mask, IntConsumer action) {
        for (int operation = 0; operation < operationCount; operation++) {
            if (mask == 0 || (mask >> operation & 1) != 0) {
                action.accept(operation);
            }
        }
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        tables.get(table).setWeight(host, weight);
        markTableUsersDue(table);
    }

    @Override
    public void clearTable(int table) {
        tables.get(table).clear();
        markTableUsersDue(table);
    }

    @Override
    public void setAdmission(int table, int mask, double admissionRatio, RetryPolicy retryPolicy) {
        AdmissionPolicy policy = new AdmissionPolicy(admissionRatio, retryPolicyCode(retryPolicy));
        forEachOperation(mask, operation -> tables.get(table).setPolicy(operation, policy));
        markTableUsersDue(table);
    }

    private static int retryPolicyCode(RetryPolicy policy) {
        return switch (policy) {
            case NONE -> RetryPolicyCode.NONE;
            case ONE_IF_NOT_EXECUTED -> RetryPolicyCode.ONE_IF_NOT_EXECUTED;
            case ONE -> RetryPolicyCode.ONE;
            case TWO -> RetryPolicyCode.TWO;
        };
    }

    private void markTableUsersDue(int table) {
        sessions.markUpdateDue(session -> session.usesTable(table));
    }

    @Override
    public void setEjected(int host, boolean isEjected) {
        ejectedHosts.setEjected(host, isEjected);
        sessions.markUpdateDue(session -> session.isConnected()
                && session.mayHoldTable(table -> tables.get(table).contains(host)));
    }

    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        EjectionRecord ejections = sessions.get(proxy).ejections();
        return (int) tables.get(table).hosts().stream()
                .filter(host -> !ejectedHosts.isEjected(host) && ejections.needsRestoration(host))
                .count();
    }

    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        EjectionStatus targetStatus =
                ejectedHosts.isEjected(host) ? EjectionStatus.EJECTED : EjectionStatus.NOT_EJECTED;
        return sessions.get(proxy).ejections().status(host) == targetStatus ? 0 : 1;
    }

    @Override
    public double entriesInMessage(int proxy, double estimatedEntries) {
        ProxySession session = sessions.get(proxy);
        if (!sessions.isUpdateDue(session)) {
            return estimatedEntries;
        }
        ConfigurationUpdate update = updateBuilder.build(session, requestedNonce);
        session.prepare(update);
        return update.entryCount();
    }

    @Override
    public void requestAcknowledgement(int nonce) {
        requestedNonce = nonce;
    }

    @Override
    public void requestCall(double atMs) {
        requestedCallsMs.add(atMs);
    }

    /** Returns the time of the planner's next requested call, or infinity if none is requested. */
    double nextCallMs() {
        return requestedCallsMs.isEmpty() ? Double.POSITIVE_INFINITY : requestedCallsMs.peek();
    }

    void removeCallsUpTo(double nowMs) {
        while (nextCallMs() <= nowMs) {
            requestedCallsMs.poll();
        }
    }

    @Override
    public void watchHostList() {
        // The control loop receives host lists from the start, without a request.
    }

    /** Sends each affected proxy one update with all commands since the previous call. */
    void send() {
        sessions.sessionsDue().forEach(this::send);
        sessions.markAllUpdated();
        tables.markPublished(table -> sessions.stream().anyMatch(session -> session.usesTable(table)));
        ejectedHosts.markPublished();
        requestedNonce = ConfigurationUpdate.WITHOUT_NONCE;
    }

    /**
     * Sends one proxy its update. A fault must not withhold updates from other proxies, so it is logged and the proxy's stream is
     * closed; the proxy then subscribes again and receives its complete table, which makes up for the missed update.
     */
    private void send(ProxySession session) {
        try {
            session.send(session.preparedUpdate().orElseGet(() -> updateBuilder.build(session, requestedNonce)));
        } catch (RuntimeException failure) {
            log.error(
                    "fault",
                    "update for proxy " + session.id() + " failed: " + failure
                            + "; closing its stream so that the proxy reconnects and receives its complete table");
            sessions.close(
                    session.stream(), "update could not be sent; closing the stream so that the proxy reconnects");
        }
    }
}
