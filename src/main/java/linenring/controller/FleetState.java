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
 * What the planner has commanded: tables, bindings, ejections, admission. Gathers the commands of one round of the control loop
 * and sends each proxy that they concern one update, at {@link #send}. Owned by the control loop's thread.
 */
final class FleetState implements Commands {
    private final int operationCount;
    private final HostIdAllocator hostIds = new HostIdAllocator();
    private final EjectedHosts ejectedHosts = new EjectedHosts();
    private final PublishedTables tables;
    private final ProxySessions sessions;
    private final UpdateBuilder updateBuilder;
    private final Log log;
    private final PriorityQueue<Double> callTimesMs = new PriorityQueue<>();
    private int nonce = ConfigurationUpdate.WITHOUT_NONCE;

    FleetState(List<String> operations, int proxies, Log log) {
        this.log = log;
        operationCount = operations.size();
        tables = new PublishedTables(operationCount);
        sessions = new ProxySessions(proxies, operationCount, log);
        updateBuilder = new UpdateBuilder(operations, hostIds, tables, ejectedHosts);
    }

    // ---- hosts

    HostIdAllocator hostIds() {
        return hostIds;
    }

    /** Forgets a removed host that no table has an entry for: its id is free for another, of which nothing is known. */
    void release(int host) {
        ejectedHosts.forget(host);
        sessions.forgetHost(host, hostIds.limit());
        hostIds.release(host);
    }

    // ---- proxies

    /** Whether this is the stream that the proxy has now. */
    boolean isCurrent(int proxy, ProxyStream stream) {
        return sessions.get(proxy).isOn(stream);
    }

    /** Whether the proxy has a stream that was opened after this one. */
    boolean hasNewer(int proxy, ProxyStream stream) {
        return sessions.hasNewer(proxy, stream);
    }

    /** The proxy whose current stream this is; empty for that of a collector and for one that has been replaced. */
    OptionalInt proxyOf(ProxyStream stream) {
        return sessions.find(stream);
    }

    /** The proxy has subscribed on this stream; another that it had is closed. */
    void connect(int proxy, ProxyStream stream, boolean isNew) {
        sessions.connect(proxy, stream, isNew);
    }

    /** The proxy's stream has ended. */
    void disconnect(int proxy) {
        sessions.disconnect(proxy);
    }

    @Override
    public void bindProxy(int table, int mask, int proxy) {
        ProxySession session = sessions.get(proxy);
        if (!session.isConnected()) {
            return; // it left in this round, after the planner had decided
        }
        forEachOperation(mask, operation -> session.bind(operation, table));
        sessions.markUpdateDue(session);
    }

    /** Calls for each operation in the mask; 0 stands for all of them. */
    private void forEachOperation(int mask, IntConsumer action) {
        for (int operation = 0; operation < operationCount; operation++) {
            if (mask == 0 || (mask >> operation & 1) != 0) {
                action.accept(operation);
            }
        }
    }

    // ---- tables

    @Override
    public void setWeight(int table, int host, double weight) {
        tables.get(table).setWeight(host, weight);
        markUsersDue(table);
    }

    @Override
    public void clearTable(int table) {
        tables.get(table).clear();
        markUsersDue(table);
    }

    @Override
    public void setAdmission(int table, int mask, double admissionRatio, RetryPolicy retryPolicy) {
        AdmissionPolicy policy = new AdmissionPolicy(admissionRatio, wireCode(retryPolicy));
        forEachOperation(mask, operation -> tables.get(table).setPolicy(operation, policy));
        markUsersDue(table);
    }

    private static int wireCode(RetryPolicy policy) {
        return switch (policy) {
            case NONE -> RetryPolicyCode.NONE;
            case ONE_IF_NOT_EXECUTED -> RetryPolicyCode.ONE_IF_NOT_EXECUTED;
            case ONE -> RetryPolicyCode.ONE;
            case TWO -> RetryPolicyCode.TWO;
        };
    }

    private void markUsersDue(int table) {
        sessions.markUpdateDue(session -> session.uses(table));
    }

    // ---- ejections

    @Override
    public void setEjected(int host, boolean isEjected) {
        ejectedHosts.set(host, isEjected);
        sessions.markUpdateDue(session -> session.isConnected()
                && session.mayHoldTable(table -> tables.get(table).contains(host)));
    }

    // ---- what an update would cost

    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        EjectionRecord ejections = sessions.get(proxy).ejections();
        return (int) tables.get(table).hosts().stream()
                .filter(host -> !ejectedHosts.contains(host) && ejections.needsRestoration(host))
                .count();
    }

    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        EjectionStatus wanted = ejectedHosts.contains(host) ? EjectionStatus.EJECTED : EjectionStatus.NOT_EJECTED;
        return sessions.get(proxy).ejections().status(host) == wanted ? 0 : 1;
    }

    @Override
    public double entriesInMessage(int proxy, double estimatedEntries) {
        ProxySession session = sessions.get(proxy);
        if (!sessions.isUpdateDue(session)) {
            return estimatedEntries;
        }
        ConfigurationUpdate update = updateBuilder.build(session, nonce);
        session.prepare(update);
        return update.entryCount();
    }

    // ---- acknowledgements, calls, discovery

    @Override
    public void requestAcknowledgement(int number) {
        nonce = number;
    }

    @Override
    public void requestCall(double atMs) {
        callTimesMs.add(atMs);
    }

    /** When the planner is to be called next; infinity where it has asked for no call. */
    double nextCallMs() {
        return callTimesMs.isEmpty() ? Double.POSITIVE_INFINITY : callTimesMs.peek();
    }

    void removeCallsUpTo(double nowMs) {
        while (nextCallMs() <= nowMs) {
            callTimesMs.poll();
        }
    }

    @Override
    public void watchHostList() {
        // discovery is watched from the start
    }

    // ---- updates

    /** Sends what was commanded since the last time: one update for each proxy concerned. */
    void send() {
        sessions.updateDue().forEach(this::send);
        sessions.markUpdated();
        tables.markPublished(table -> sessions.stream().anyMatch(session -> session.uses(table)));
        ejectedHosts.markPublished();
        nonce = ConfigurationUpdate.WITHOUT_NONCE;
    }

    /**
     * A fault that keeps an update from one proxy must not keep it from the others. Its stream is closed: the proxy subscribes
     * again and gets its table in full, so that what it missed does no harm.
     */
    private void send(ProxySession session) {
        try {
            session.send(session.preparedUpdate().orElseGet(() -> updateBuilder.build(session, nonce)));
        } catch (RuntimeException failure) {
            log.error(
                    "fault",
                    "update for proxy " + session.id() + " failed: " + failure
                            + "; stream closed, the proxy will reconnect");
            sessions.close(session.stream(), "can't be written to");
        }
    }
}
