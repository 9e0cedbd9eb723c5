package linenring.routing;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.IntPredicate;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.protocol.ConfigurationUpdate;

/**
 * The endpoint tables of one proxy, as set by the controller, and the picker that chooses hosts from them. Updates are
 * applied under this object's lock; picks run on any thread and use an immutable snapshot of the tables from before or
 * after an update. Hosts and operations are indices; times are ms on the caller's clock.
 *
 * <p>A host is picked at random by weight. Hosts that the controller has ejected are never picked; hosts that this
 * proxy's {@link OutlierEjection} has ejected are picked only when no other host is eligible.
 */
public final class EndpointTables {
    /** The result of a pick when no host is eligible. */
    public static final int NONE = WeightedHostPicker.NONE;

    /** The pickers of one operation, for one version of the tables and of the proxy's own ejections. */
    private record Candidates(int ejectionVersion, WeightedHostPicker preferred, WeightedHostPicker all) {}

    private final List<String> operations;
    private final HostRegistry hosts;
    private final AdmissionUnit measure;
    private final OutlierEjection outlierEjection;
    private volatile OperationTable[] tables; // immutable snapshots, replaced under this object's lock
    private BitSet ejectedByController =
            new BitSet(); // guarded by this object's lock; an update replaces the set; it outlives streams to the
    // controller
    private final AtomicReferenceArray<Candidates>
            candidates; // pickers by operation index; null from an update until the next pick

    /**
     * Creates empty tables.
     *
     * @param failuresToEject consecutive failures of the proxy's own attempts that eject a host; 0 disables ejection
     * @param ejectionMs      duration of an ejection
     */
    public EndpointTables(
            List<String> operations,
            HostRegistry hosts,
            AdmissionUnit measure,
            int failuresToEject,
            double ejectionMs) {
        this.operations = List.copyOf(operations);
        this.hosts = hosts;
        this.measure = measure;
        outlierEjection = new OutlierEjection(failuresToEject, ejectionMs);
        tables = new OperationTable[operations.size()];
        java.util.Arrays.fill(tables, OperationTable.EMPTY);
        candidates = new AtomicReferenceArray<>(operations.size());
    }

    /**
     * Applies all parts of an update.
     *
     * @return the nonces to acknowledge, in the order of the parts
     * @throws InvalidUpdateException if a part is invalid; the tables are then unchanged
     */
    public synchronized List<Integer> apply(ConfigurationUpdate update) throws InvalidUpdateException {
        TableUpdate next = new TableUpdate(operations, hosts, measure, tables, ejectedByController);
        for (ConfigurationUpdate.Part part : update.parts()) {
            next.apply(part);
        }
        tables = next.tables();
        ejectedByController = next.ejectedHosts();
        for (int operation = 0; operation < operations.size(); operation++) {
            candidates.set(operation, null);
        }
        return next.nonces();
    }

    /** Whether no table has an entry; a proxy reports this when it subscribes. */
    public boolean isEmpty() {
        for (OperationTable table : tables) {
            if (!table.weights().isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Picks a host by weight for a random number {@code draw} in [0, 1); {@link #NONE} if no host is eligible. */
    public int pick(int operation, double nowMs, double draw) {
        return candidates(operation, nowMs).preferred().pick(draw);
    }

    /**
     * Picks a host by weight among the hosts that are {@code allowed}. A host that the proxy itself has ejected is
     * picked only if no other allowed host is eligible.
     */
    int pick(int operation, double nowMs, double draw, IntPredicate allowed) {
        Candidates current = candidates(operation, nowMs);
        int preferred = current.preferred().pick(draw, allowed);
        return preferred != NONE ? preferred : current.all().pick(draw, allowed);
    }

    private Candidates candidates(int operation, double nowMs) {
        int ejectionVersion = outlierEjection.version(nowMs);
        Candidates current = candidates.get(operation);
        boolean isCurrent = current != null && current.ejectionVersion() == ejectionVersion;
        return isCurrent ? current : selectCandidates(operation, ejectionVersion);
    }

    private synchronized Candidates selectCandidates(int operation, int ejectionVersion) {
        WeightedHostPicker all = selectHosts(operation, host -> true);
        WeightedHostPicker preferred = selectHosts(operation, host -> !outlierEjection.isEjected(host));
        Candidates selected = new Candidates(ejectionVersion, preferred.isEmpty() ? all : preferred, all);
        candidates.set(operation, selected);
        return selected;
    }

    /**
     * Creates a picker for the allowed hosts of a table that the controller has not ejected. The caller holds the lock.
     */
    private WeightedHostPicker selectHosts(int operation, IntPredicate allowed) {
        TreeMap<Integer, Double> entries = tables[operation].weights();
        int[] selected = new int[entries.size()];
        double[] weights = new double[entries.size()];
        int count = 0;
        for (Map.Entry<Integer, Double> entry : entries.entrySet()) {
            if (!ejectedByController.get(entry.getKey()) && allowed.test(entry.getKey())) {
                selected[count] = entry.getKey();
                weights[count] = entry.getValue();
                count++;
            }
        }
        return new WeightedHostPicker(selected, weights, count);
    }

    /**
     * Returns 0 if a request is admitted, and otherwise the time in ms after which the client can retry; infinity if
     * that time is unknown.
     */
    double admissionRetryAfterMs(int operation, double nowMs, double draw) {
        return tables[operation].admission().retryAfterMs(nowMs, draw);
    }

    RetryPolicy retryPolicy(int operation) {
        return tables[operation].retryPolicy();
    }

    /** Whether a host is in the table of an operation and is not ejected by the controller. */
    public synchronized boolean isEligible(int operation, int host) {
        return tables[operation].weights().containsKey(host) && !ejectedByController.get(host);
    }

    /** Whether a host is in the table of any operation and is not ejected by the controller. */
    public synchronized boolean isEligibleForAnyOperation(int host) {
        for (int operation = 0; operation < operations.size(); operation++) {
            if (isEligible(operation, host)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the weights in the table of an operation, by host index and including ejected hosts. */
    public Map<Integer, Double> weights(int operation) {
        return Map.copyOf(tables[operation].weights());
    }

    /**
     * Records the outcome of the proxy's own attempt at a host; true if the attempt causes the ejection of the host.
     */
    public boolean recordOutcome(int host, boolean isSuccess, double nowMs) {
        return outlierEjection.recordOutcome(host, isSuccess, nowMs);
    }

    /** Returns the names of the operations, in the order of their indices. */
    public List<String> operations() {
        return operations;
    }
}
