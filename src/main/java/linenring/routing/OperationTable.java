package linenring.routing;

import java.util.Map;
import java.util.TreeMap;
import linenring.planner.Commands.RetryPolicy;

/**
 * What a proxy holds for one operation. Never changed once {@link Tables} has it.
 *
 * @param weights     over 0, by host
 * @param admission   how much is admitted
 * @param retryPolicy how often a request is sent to another host
 */
record OperationTable(TreeMap<Integer, Double> weights, AdmissionControl admission, RetryPolicy retryPolicy) {
    /** What proxies do until the controller has ordered something else. */
    static final RetryPolicy DEFAULT_RETRY_POLICY = RetryPolicy.ONE_IF_NOT_EXECUTED;

    /** The table of a proxy that has received none. */
    static final OperationTable EMPTY =
            new OperationTable(new TreeMap<>(), AdmissionControl.ADMIT_ALL, DEFAULT_RETRY_POLICY);

    /** The same with some entries changed; weight 0 removes one. */
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
