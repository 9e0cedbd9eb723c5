package linenring.routing;

import java.util.Map;
import java.util.TreeMap;
import linenring.planner.Commands.RetryPolicy;

/**
 * The endpoint table, admission control and retry policy of one operation at a proxy. {@link EndpointTables} uses it as an
 * immutable snapshot.
 *
 * @param weights     weights above 0, by host index
 * @param admission   admission control of the operation
 * @param retryPolicy how often and when a request is retried at another host
 */
record OperationTable(TreeMap<Integer, Double> weights, AdmissionControl admission, RetryPolicy retryPolicy) {
    /** The retry policy of a proxy until the controller sets another one. */
    static final RetryPolicy DEFAULT_RETRY_POLICY = RetryPolicy.ONE_IF_NOT_EXECUTED;

    /** The table of a proxy that has not received one yet. */
    static final OperationTable EMPTY =
            new OperationTable(new TreeMap<>(), AdmissionControl.ADMIT_ALL, DEFAULT_RETRY_POLICY);

    /** Returns a copy of this table with changed entries; weight 0 removes an entry. */
    OperationTable withEntries(Map<Integer, Double> changes) {
        if (changes.isEmpty()) {
            return this;
        }
        TreeMap<Integer, Double> next = new TreeMap<>(weights);
        next.putAll(changes);
        next.values().removeIf(weight -> weight == 0);
        return new OperationTable(next, admission, retryPolicy);
    }

    OperationTable withAdmission(AdmissionControl newAdmission, RetryPolicy newRetryPolicy) {
        return new OperationTable(weights, newAdmission, newRetryPolicy);
    }
}
