package linenring.routing;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;

/**
 * The tables after one configuration update: starts from those that are there and applies the parts one by one, so that
 * {@link Tables} takes over all of them or, where one cannot be used, none. Used by one thread, once.
 */
final class TableUpdate {
    /** By their code in a {@link ConfigurationUpdate.AdmissionPolicy}. */
    static final List<RetryPolicy> RETRY_POLICIES =
            List.of(RetryPolicy.NONE, RetryPolicy.ONE_IF_NOT_EXECUTED, RetryPolicy.ONE, RetryPolicy.TWO);

    private final List<String> operationNames;
    private final HostRegistry hosts;
    private final Measure measure;
    private final OperationTable[] tables;
    private final BitSet ejectedHosts;
    private final List<Integer> nonces = new ArrayList<>();

    /** Of copies of these tables and ejections. */
    TableUpdate(
            List<String> operationNames,
            HostRegistry hosts,
            Measure measure,
            OperationTable[] tables,
            BitSet ejectedHosts) {
        this.operationNames = operationNames;
        this.hosts = hosts;
        this.measure = measure;
        this.tables = tables.clone();
        this.ejectedHosts = (BitSet) ejectedHosts.clone();
    }

    void apply(ConfigurationUpdate.Part part) throws UnusableUpdateException {
        BitSet operations = operations(part);
        Map<Integer, Double> entries = entries(part);
        checkAdmission(part.admission());
        operations.stream().forEach(operation -> tables[operation] = changed(tables[operation], part, entries));
        setEjected(part.ejected(), true);
        setEjected(part.restored(), false);
        if (part.nonce() != ConfigurationUpdate.WITHOUT_NONCE) {
            nonces.add(part.nonce());
        }
    }

    /** By operation. */
    OperationTable[] tables() {
        return tables;
    }

    BitSet ejectedHosts() {
        return ejectedHosts;
    }

    /** Of the parts that ask for an acknowledgement, in their order. */
    List<Integer> nonces() {
        return nonces;
    }

    /** The operations that a part names; all if it names none. */
    private BitSet operations(ConfigurationUpdate.Part part) throws UnusableUpdateException {
        BitSet operations = new BitSet();
        for (String name : part.operations()) {
            int operation = operationNames.indexOf(name);
            if (operation < 0) {
                throw UnusableUpdateException.unknownOperation(name, operationNames);
            }
            operations.set(operation);
        }
        if (part.operations().isEmpty()) {
            operations.set(0, tables.length);
        }
        return operations;
    }

    private Map<Integer, Double> entries(ConfigurationUpdate.Part part) throws UnusableUpdateException {
        Map<Integer, Double> weights = new TreeMap<>();
        for (ConfigurationUpdate.TableEntry entry : part.entries()) {
            int host = listedHost(entry.host());
            if (!(entry.weight() >= 0) || Double.isInfinite(entry.weight())) {
                throw UnusableUpdateException.invalidWeight(entry.host(), entry.weight());
            }
            weights.put(host, entry.weight());
        }
        return weights;
    }

    private static void checkAdmission(ConfigurationUpdate.AdmissionPolicy admission) throws UnusableUpdateException {
        int policies = RETRY_POLICIES.size();
        if (admission != null
                && (!(admission.admissionRatio() >= 0)
                        || admission.retryPolicyCode() < 0
                        || admission.retryPolicyCode() >= policies)) {
            throw UnusableUpdateException.invalidAdmission(
                    admission.admissionRatio(), admission.retryPolicyCode(), policies);
        }
    }

    /** A complete table replaces the entries; without an admission policy it also forgets the one that was ordered before. */
    private OperationTable changed(OperationTable before, ConfigurationUpdate.Part part, Map<Integer, Double> entries) {
        OperationTable next = (part.replacesTable() ? OperationTable.EMPTY : before).withEntries(entries);
        ConfigurationUpdate.AdmissionPolicy admission = part.admission();
        if (admission == null) {
            return next;
        }
        return next.withAdmission(
                before.admission().withLimit(admission.admissionRatio(), measure),
                RETRY_POLICIES.get(admission.retryPolicyCode()));
    }

    private void setEjected(List<String> ids, boolean ejected) throws UnusableUpdateException {
        for (String id : ids) {
            ejectedHosts.set(listedHost(id), ejected);
        }
    }

    private int listedHost(String id) throws UnusableUpdateException {
        int host = hosts.index(id);
        if (host < 0) {
            throw UnusableUpdateException.unlistedHost(id);
        }
        return host;
    }
}
