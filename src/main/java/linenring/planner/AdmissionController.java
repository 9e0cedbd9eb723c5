package linenring.planner;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.planner.PlannerSettings.Operation;

/**
 * Decides which share of each operation's requests the proxies admit, and whether proxies may retry. Inputs: the
 * baseline and the high relative latency (latency divided by its objective), the attempts that ended and failed,
 * and the request rate, latency objective (ms) and priority weight of each operation.
 *
 * <p>Failure guarded against: demand above the capacity of the fleet, for any cause. The relative latency then
 * rises at the best third of the hosts and at the 62nd percentile host alike. Without load shedding, in the end no
 * request is answered in time, because hosts spend their work on answers that come too late. The control loop is
 * stable because the admission ratio follows the ratio of successful attempts: after a cut, admission is evaluated
 * again only from reports on traffic that was admitted after the cut. Load is shed first from the operation with
 * the least priority weight per unit of work. Nothing is cut while the latency of the best third is low, since then
 * hosts or network paths are at fault and not the load. Shedding could do harm where all hosts are slow for a cause
 * that less load does not remove.
 *
 * <p>Retries: a proxy may retry once, and only with proof that the attempt was not executed, so that no retried
 * request takes effect twice. Retries are switched off in a retry storm under reduced admission, since a request
 * rejected by one full host would only move on to the next full host.
 */
final class AdmissionController {
    /** Relative latency of the 62nd percentile host above which admission may be cut. */
    private static final double OVERLOAD_RELATIVE_LATENCY = 0.5;
    /**
     * Admission is cut only if the relative latency of the best third of the hosts is above this value: below it,
     * load is not the cause.
     */
    private static final double MAX_BASELINE_LATENCY_WITHOUT_OVERLOAD = 0.35;
    /** Relative latency that a cut of admission aims at. */
    private static final double CUT_TARGET_RELATIVE_LATENCY = 0.55;
    /** A cut of admission aims a little below the ratio of successful attempts. */
    private static final double CUT_TARGET_SUCCESS_FACTOR = 0.95;
    /** Smallest factor by which one cut multiplies the admission ratio. */
    private static final double MIN_FACTOR_PER_CUT = 0.6;
    /** Lower bound of the admission ratio. */
    private static final double MIN_ADMISSION_RATIO = 0.1;
    /** Relative latency of the 62nd percentile host below which the admission ratio recovers. */
    private static final double RECOVERY_RELATIVE_LATENCY = 0.4;
    /**
     * A recovery step multiplies the admission ratio by 1 + (this gain - relative latency), so that admission
     * recovers faster at lower latency.
     */
    private static final double RECOVERY_GAIN_AT_ZERO_LATENCY = 0.45;
    /**
     * Time for the queues of hosts to empty after a cut of admission; the outcomes reported until then are
     * discarded, as they come from traffic admitted before the cut.
     */
    private static final double QUEUE_DRAIN_MS = 2000;
    /** Shortest wait for load reports after the queues of hosts have emptied. */
    private static final double MIN_REPORT_WAIT_MS = 1000;
    /** Interval between two evaluations of admission, in which new load reports arrive. */
    private static final double REEVALUATION_INTERVAL_MS = 1500;
    /**
     * The first phase of load shedding lowers each operation to this ratio at most, so that no operation is
     * sacrificed early.
     */
    private static final double FIRST_PHASE_FLOOR = 0.4;
    /** The second phase of load shedding lowers each operation to this ratio at most. */
    private static final double SECOND_PHASE_FLOOR = 0.05;

    private static final double[] SHEDDING_FLOORS = {FIRST_PHASE_FLOOR, SECOND_PHASE_FLOOR};
    /** A smaller change of an admission ratio is not worth a message. */
    private static final double MIN_ADMISSION_CHANGE = 0.02;
    /** Retries are switched off in a retry storm while the admission ratio is below this value. */
    private static final double MIN_RATIO_FOR_RETRIES = 0.9;
    /** Admission value of an operation that is not limited; above the request rate of any proxy. */
    private static final double UNLIMITED_REQUESTS_PER_SECOND = 1e6;

    private final PlannerContext context;
    private final RetryStormGuard retryStormGuard;
    private final List<Operation> operations;
    private final double[] ratioByOperation = new double[Integer.SIZE];
    private double admissionRatio = 1;
    private double nextEvaluationAtMs;
    private double discardOutcomesAtMs = Double.POSITIVE_INFINITY;

    AdmissionController(PlannerContext context, RetryStormGuard retryStormGuard) {
        this.context = context;
        this.retryStormGuard = retryStormGuard;
        operations = context.settings().operations();
        Arrays.fill(ratioByOperation, 1);
    }

    /**
     * Evaluates overload and retry storms by the latest load reports; returns whether the admission ratio or the
     * outcomes of hosts changed.
     */
    boolean adjustAdmission() {
        FleetStatistics statistics = context.statistics();
        double workPerSecond = statistics.refreshDemand();
        statistics.refresh();
        retryStormGuard.updateStormState();
        if (context.nowMs() >= discardOutcomesAtMs) {
            discardOutcomesAtMs = Double.POSITIVE_INFINITY;
            // the outcomes so far come from traffic admitted before the cut
            context.fleet().hosts().forEach(statistics::forgetOutcomes);
            return true;
        }
        boolean hasEnoughReports =
                statistics.endedAttempts() >= FleetStatistics.MIN_FLEET_ATTEMPTS && statistics.requestsPerSecond() > 0;
        if (!hasEnoughReports || context.nowMs() < nextEvaluationAtMs) {
            return false;
        }
        double previousRatio = admissionRatio;
        admissionRatio = nextRatio(statistics);
        boolean isReduced = admissionRatio < previousRatio;
        if (isReduced) {
            discardOutcomesAtMs =
                    context.nowMs() + QUEUE_DRAIN_MS + Math.max(MIN_REPORT_WAIT_MS, statistics.reportSpanMs());
        }
        nextEvaluationAtMs = (isReduced ? discardOutcomesAtMs : context.nowMs()) + REEVALUATION_INTERVAL_MS;
        shed((1 - admissionRatio) * workPerSecond);
        return admissionRatio != previousRatio;
    }

    private double nextRatio(FleetStatistics statistics) {
        double highLatency = statistics.highRelativeLatency();
        if (highLatency > OVERLOAD_RELATIVE_LATENCY
                && statistics.baselineRelativeLatency() > MAX_BASELINE_LATENCY_WITHOUT_OVERLOAD) {
            double successFactor =
                    CUT_TARGET_SUCCESS_FACTOR * statistics.succeededAttempts() / statistics.endedAttempts();
            double cutFactor =
                    Math.max(MIN_FACTOR_PER_CUT, Math.min(CUT_TARGET_RELATIVE_LATENCY / highLatency, successFactor));
            return Math.max(MIN_ADMISSION_RATIO, admissionRatio * cutFactor);
        }
        if (highLatency < RECOVERY_RELATIVE_LATENCY && admissionRatio < 1) {
            return Math.min(1, admissionRatio * (1 + (RECOVERY_GAIN_AT_ZERO_LATENCY - highLatency)));
        }
        return admissionRatio;
    }

    /**
     * Distributes the work to shed over the operations, starting with the least priority weight per unit of work
     * (request rate times objective).
     */
    private void shed(double workPerSecond) {
        List<Integer> leastValuableFirst = IntStream.range(0, operations.size())
                .boxed()
                .sorted(Comparator.comparingDouble(this::valuePerWork))
                .toList();
        Arrays.fill(ratioByOperation, 1);
        double remainingWork = workPerSecond;
        for (double floor : SHEDDING_FLOORS) {
            for (int operation : leastValuableFirst) {
                double work = context.statistics().workPerSecond(operation);
                double shedWork = Math.min(remainingWork, Math.max(0, ratioByOperation[operation] - floor) * work);
                ratioByOperation[operation] -= work > 0 ? shedWork / work : 0;
                remainingWork -= shedWork;
            }
        }
    }

    private double valuePerWork(int operation) {
        return operations.get(operation).priorityWeight()
                / operations.get(operation).objectiveMs();
    }

    /** Retry policy that proxies should follow now. */
    RetryPolicy retryPolicy() {
        return retryStormGuard.isStormActive() && admissionRatio < MIN_RATIO_FOR_RETRIES
                ? RetryPolicy.NONE
                : RetryPolicy.ONE_IF_NOT_EXECUTED;
    }

    /** Whether the admission ratio of this operation must be written to the table. */
    boolean mustWriteAdmission(EndpointTable table, int operation) {
        return !context.registry().isSharded()
                && table.appliesToOperation(operation)
                && (table.retryPolicy() != retryPolicy()
                        || Math.abs(table.admissionRatio(operation) - ratioByOperation[operation])
                                > MIN_ADMISSION_CHANGE);
    }

    /** Returns the operations whose admission ratio must be written to the table. */
    IntStream operationsToWrite(EndpointTable table) {
        return IntStream.range(0, operations.size()).filter(operation -> mustWriteAdmission(table, operation));
    }

    /**
     * Whether the table admits more than the current admission ratios. Writing the cut is as urgent as an ejection,
     * since each moment of excess load prolongs the overload.
     */
    boolean isAdmissionCutPending(EndpointTable table) {
        return operationsToWrite(table)
                .anyMatch(operation -> ratioByOperation[operation] < table.admissionRatio(operation));
    }

    /** Writes the changed admission ratios and the retry policy to the table. */
    void write(EndpointTable table) {
        operationsToWrite(table).forEach(operation -> write(table, operation));
        table.setRetryPolicy(retryPolicy());
    }

    private void write(EndpointTable table, int operation) {
        double ratio = ratioByOperation[operation];
        table.setAdmissionRatio(operation, ratio);
        double admission = context.settings().admissionUnit() == AdmissionUnit.PER_SECOND
                ? admittedPerSecond(table, operation)
                : ratio;
        context.writer().writeAdmission(table, operation, admission, retryPolicy());
    }

    private double admittedPerSecond(EndpointTable table, int operation) {
        Collection<ProxyState> proxies = context.registry().proxiesUsing(table);
        double requestsPerUser = proxies.stream()
                        .mapToDouble(proxy -> proxy.requestsPerSecond(operation))
                        .sum()
                / Math.max(1, proxies.size());
        double ratio = ratioByOperation[operation];
        return ratio < 1 ? ratio * requestsPerUser : UNLIMITED_REQUESTS_PER_SECOND;
    }

    /** Time at which the outcomes from before a cut must be discarded, or infinity. */
    double nextDueMs() {
        return discardOutcomesAtMs;
    }
}
