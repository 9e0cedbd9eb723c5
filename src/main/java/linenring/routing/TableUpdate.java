package linenring.routing;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.protocol.ConfigurationUpdate;

/**
 * Applies the parts of one configuration update to copies of the current tables, so that {@link EndpointTables} replaces all
 * tables at once, or none if a part is invalid. An object of this class is used by one thread for one update.
 */
final class TableUpdate {
    /** Retry policies by their code in a {@link ConfigurationUpdate.AdmissionPolicy}. */
    static final List<RetryPolicy> RETRY_POLICIES =
            List.of(RetryPolicy.NONE, RetryPolicy.ONE_IF_NOT_EXECUTED, RetryPolicy.ONE, RetryPolicy.TWO);

    private final List<String> operationNames;
    private final HostRegistry hosts;
    private final AdmissionUnit measure;
    private final OperationTable[] tables;
    private final BitSet ejectedHosts;
    private final List<Integer> nonces = new ArrayList<>();

    /** Starts from copies of the given tables and ejections. */
    TableUpdate(
            List<String> operationNames,
            HostRegistry hosts,
            AdmissionUnit measure,
            OperationTable[] tables,
            BitSet ejectedHosts) {
        this.operationNames = operationNames;
        this.hosts = hosts;
        this.measure = measure;
        this.tables = tables.clone();
        this.ejectedHosts = (BitSet) ejectedHosts.clone();
    }

    void apply(ConfigurationUpdate.Part part) throws InvalidUpdateException {
        BitSet operations = operationIndices(part);
        Map<Integer, Double> entries = weightsByHost(part);
        checkAdmission(part.admission());
        operations.stream().forEach(operation -> tables[operation] = tableWithPart(tables[operation], part, entries));
        setEjected(part.ejected(), true);
        setEjected(part.restored(), false);
        if (part.nonce() != ConfigurationUpdate.WITHOUT_NONCE) {
            nonces.add(part.nonce());
        }
    }

    /** Returns the updated tables, by operation index. */
    OperationTable[] tables() {
        return tables;
    }

    BitSet ejectedHosts() {
        return ejectedHosts;
    }

    /** Returns the nonces of the parts that request an acknowledgement, in the order of the parts. */
    List<Integer> nonces() {
        return nonces;
    }

    /** Returns the indices of the operations that a part names, or of all operations if it names none. */
    private BitSet operationIndices(ConfigurationUpdate.Part part) throws InvalidUpdateException {
        BitSet operations = new BitSet();
        for (String name : part.operations()) {
            int operation = operationNames.indexOf(name);
            if (operation < 0) {
                throw InvalidUpdateException.unknownOperation(name, operationNames);
            }
            operations.set(operation);
        }
        if (part.operations().isEmpty()) {
            operations.set(0, tables.length);
        }
        return operations;
    }

    private Map<Integer, Double> weightsByHost(ConfigurationUpdate.Part part) throws InvalidUpdateException {
        Map<Integer, Double> weights = new TreeMap<>();
        for (ConfigurationUpdate.TableEntry entry : part.entries()) {
            int host = requireListedHost(entry.host());
            if (!(entry.weight() >= 0) || Double.isInfinite(entry.weight())) {
                throw InvalidUpdateException.invalidWeight(entry.host(), entry.weight());
            }
            weights.put(host, entry.weight());
        }
        return weights;
    }

    private static void checkAdmission(ConfigurationUpdate.AdmissionPolicy admission) throws InvalidUpdateException {
        int policyCount = RETRY_POLICIES.size();
        if (admission != null
                && (!(admission.admissionRatio() >= 0)
                        || admission.retryPolicyCode() < 0
                        || admission.retryPolicyCode() >= policyCount)) {
            throw InvalidUpdateException.invalidAdmission(
                    admission.admissionRatio(), admission.retryPolicyCode(), policyCount);
        }
    }

    /**
     * Returns a table with the changes of a part applied. A complete table replaces all entries; if the part has no
     * admission policy, a complete table also resets admission control and retry policy to their defaults.
     */
    private OperationTable tableWithPart(
            OperationTable before, ConfigurationUpdate.Part part, Map<Integer, Double> entries) {
        OperationTable next = (part.replacesTable() ? OperationTable.EMPTY : before).withEntries(entries);
        ConfigurationUpdate.AdmissionPolicy admission = part.admission();
        if (admission == null) {
            return next;
        }
        return next.withAdmission(
                before.admission().withLimit(admission.admissionRatio(), measure),
                RETRY_POLICIES.get(admission.retryPolicyCode()));
    }

    private void setEjected(List<String> ids, boolean ejected) throws InvalidUpdateException {
        for (String id : ids) {
            ejectedHosts.set(requireListedHost(id), ejected);
        }
    }

    private int requireListedHost(String id) throws InvalidUpdateException {
        int host = hosts.index(id);
        if (host < 0) {
            throw InvalidUpdateException.unlistedHost(id);
        }
        return host;
    }
}
