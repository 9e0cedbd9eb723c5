package linenring.routing;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.IntPredicate;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;

/**
 * The endpoint tables of one proxy as the controller has ordered them, and the hosts that are picked from them. Updates
 * are applied under this object's lock; picks come from any thread and see the tables before or after an update, never
 * between. Hosts and operations are indices; times are ms on the caller's clock.
 *
 * <p>A host is picked by weight. Those that the controller has ejected are never picked; those that this proxy has
 * ejected by itself ({@link OutlierEjection}) only where no other is left.
 */
public final class Tables {
    /** No host may be picked. */
    public static final int NONE = HostSelection.NONE;

    /** What may be picked from, as of one state of the tables and of the proxy's own ejections. */
    private record Candidates(int ejectionVersion, HostSelection preferred, HostSelection all) {}

    private final List<String> operations;
    private final HostRegistry hosts;
    private final Measure measure;
    private final OutlierEjection outlierEjection;
    private volatile OperationTable[] tables; // replaced under this, never changed
    private BitSet ejectedByController = new BitSet(); // guarded by this; outlives streams; replaced, never changed
    private final AtomicReferenceArray<Candidates> candidates; // by operation; null: to be made anew

    /**
     * Empty tables.
     *
     * @param failuresToEject own failed attempts in a row after which the proxy ejects a host; 0: never
     * @param ejectionMs      how long
     */
    public Tables(
            List<String> operations, HostRegistry hosts, Measure measure, int failuresToEject, double ejectionMs) {
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
     * @return the nonces to acknowledge, in order
     * @throws UnusableUpdateException where a part cannot be used; then nothing has changed
     */
    public synchronized List<Integer> apply(ConfigurationUpdate update) throws UnusableUpdateException {
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

    /** Whether no table has an entry: what a proxy says when it subscribes. */
    public boolean isEmpty() {
        for (OperationTable table : tables) {
            if (!table.weights().isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** A host by weight for {@code draw} in [0, 1), or {@link #NONE}. */
    public int pick(int operation, double nowMs, double draw) {
        return candidates(operation, nowMs).preferred().pick(draw);
    }

    /** The same among the hosts that are {@code allowed}; those that the proxy ejected where there is no other. */
    int pick(int operation, double nowMs, double draw, IntPredicate allowed) {
        Candidates current = candidates(operation, nowMs);
        int preferred = current.preferred().pick(draw, allowed);
        return preferred != NONE ? preferred : current.all().pick(draw, allowed);
    }

    private Candidates candidates(int operation, double nowMs) {
        int ejectionVersion = outlierEjection.version(nowMs);
        Candidates current = candidates.get(operation);
        boolean valid = current != null && current.ejectionVersion() == ejectionVersion;
        return valid ? current : selectCandidates(operation, ejectionVersion);
    }

    private synchronized Candidates selectCandidates(int operation, int ejectionVersion) {
        HostSelection all = select(operation, host -> true);
        HostSelection preferred = select(operation, host -> !outlierEjection.isEjected(host));
        Candidates selected = new Candidates(ejectionVersion, preferred.isEmpty() ? all : preferred, all);
        candidates.set(operation, selected);
        return selected;
    }

    /** Of the hosts in a table that the controller has not ejected. The caller holds the lock. */
    private HostSelection select(int operation, IntPredicate allowed) {
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
        return new HostSelection(selected, weights, count);
    }

    /** 0 if a request is admitted now, else ms after which to try again; infinity where that is not known. */
    double admissionRetryAfterMs(int operation, double nowMs, double draw) {
        return tables[operation].admission().retryAfterMs(nowMs, draw);
    }

    RetryPolicy retryPolicy(int operation) {
        return tables[operation].retryPolicy();
    }

    /** Whether a host is in the table of this operation and not ejected by the controller. */
    public synchronized boolean isEligible(int operation, int host) {
        return tables[operation].weights().containsKey(host) && !ejectedByController.get(host);
    }

    /** Whether a host is in any table and not ejected by the controller. */
    public synchronized boolean isEligibleAnywhere(int host) {
        for (int operation = 0; operation < operations.size(); operation++) {
            if (isEligible(operation, host)) {
                return true;
            }
        }
        return false;
    }

    /** Weight by host as the table of an operation has it, ejected hosts included. */
    public Map<Integer, Double> weights(int operation) {
        return Map.copyOf(tables[operation].weights());
    }

    /** Records the end of an own attempt at a host; true if the proxy ejects that host from now on. */
    public boolean recordOutcome(int host, boolean success, double nowMs) {
        return outlierEjection.recordOutcome(host, success, nowMs);
    }

    /** The names of the operations; their positions are the indices. */
    public List<String> operations() {
        return operations;
    }
}
