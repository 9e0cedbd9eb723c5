package linenring.planner;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Measure;
import linenring.planner.PlannerSettings.Operation;

/**
 * Decides how much of each operation proxies admit, and whether they retry. Inputs: the usual and the high lateness (in
 * objectives), attempts that ended and failed, requests a second, objective (ms) and priority weight of each operation.
 *
 * <p>Failure guarded against: a fleet too small for what is asked, whatever made it so. It shows as lateness at the best third
 * of the hosts and at the 62nd percentile host alike; in the end nothing is answered in time, as work is spent on answers that
 * come too late. The guard holds because what is admitted follows what ends well: it is cut once, then judged again when reports
 * tell of what was admitted after the cut. What is shed is what earns least for a unit of work. Nothing is cut while the best
 * third is unhurried: then hosts or links are at fault and not load. It could do harm where all hosts are slow for a cause
 * that less load does not mend.
 *
 * <p>Retries: one, on proof that the attempt was not executed, so that nothing that proxies repeat takes effect twice. None in a
 * retry storm under lowered admission, where each full host would forward to the next.
 */
final class AdmissionController {
    /** Admission is cut when the 62nd percentile host takes more than this part of the objective... */
    private static final double OVERLOAD_LATENESS = 0.5;
    /** ... and the best third more than this: below it they are unhurried. */
    private static final double UNHURRIED_LATENESS = 0.35;
    /** A cut aims at this lateness. No reason is recorded for the value. */
    private static final double CUT_TARGET_LATENESS = 0.55;
    /** A cut aims a little under what ends well. No reason is recorded for the value. */
    private static final double CUT_TARGET_SUCCESS = 0.95;
    /** One step keeps at least this part of the admission ratio. No reason is recorded for the value. */
    private static final double MIN_FACTOR_PER_CUT = 0.6;
    /** The admission ratio never falls below this. No reason is recorded for the value. */
    private static final double MIN_ADMISSION_RATIO = 0.1;
    /** Admission rises while the 62nd percentile host takes less than this part of the objective... */
    private static final double RECOVERY_LATENESS = 0.4;
    /**
     * ... and each step multiplies the ratio by 1 + (this - lateness): it rises faster the quicker answers are. No reason is
     * recorded for the value.
     */
    private static final double RECOVERY_GAIN_AT_ZERO_LATENESS = 0.45;
    /** Time in which queues empty after a cut; then reports of what was admitted before it are dropped. */
    private static final double QUEUES_EMPTY_MS = 2000;
    /** Shortest wait for reports after that. */
    private static final double MIN_REPORT_SPAN_MS = 1000;
    /** Wait before admission is judged again, in which new reports come in. */
    private static final double JUDGE_AGAIN_MS = 1500;
    /** Phase 1 sheds each operation down to this ratio, so that none is given up early. */
    private static final double FIRST_PHASE_FLOOR = 0.4;
    /** Phase 2 sheds each operation down to this ratio. No reason is recorded for the value. */
    private static final double SECOND_PHASE_FLOOR = 0.05;

    private static final double[] SHEDDING_FLOORS = {FIRST_PHASE_FLOOR, SECOND_PHASE_FLOOR};
    /** A smaller change of admission is not worth a message. */
    private static final double MIN_CHANGE = 0.02;
    /** No retries in a storm under this admission. No reason is recorded for the value. */
    private static final double MIN_RATIO_FOR_RETRIES = 0.9;
    /** In requests a second: more than any proxy is asked. */
    private static final double UNLIMITED_PER_SECOND = 1e6;

    private final PlannerContext context;
    private final RetryStormGuard storm;
    private final List<Operation> operations;
    private final double[] admissionRatios = new double[Integer.SIZE];
    private double admissionRatio = 1;
    private double judgeAtMs;
    private double forgetAtMs = Double.POSITIVE_INFINITY;

    AdmissionController(PlannerContext context, RetryStormGuard storm) {
        this.context = context;
        this.storm = storm;
        operations = context.settings().operations();
        Arrays.fill(admissionRatios, 1);
    }

    /** Judges load and storm by the latest reports; whether it changed what is admitted or known. */
    boolean adjust() {
        FleetStatistics statistics = context.statistics();
        double workPerSecond = statistics.refreshDemand();
        statistics.refresh();
        storm.observe();
        if (context.nowMs() >= forgetAtMs) {
            forgetAtMs = Double.POSITIVE_INFINITY;
            context.fleet().hosts().forEach(statistics::forgetOutcomes); // they show what was admitted before the cut
            return true;
        }
        boolean isKnown =
                statistics.ended() >= FleetStatistics.MIN_FLEET_ATTEMPTS && statistics.requestsPerSecond() > 0;
        if (!isKnown || context.nowMs() < judgeAtMs) {
            return false;
        }
        double before = admissionRatio;
        admissionRatio = nextRatio(statistics);
        boolean isCut = admissionRatio < before;
        if (isCut) {
            forgetAtMs = context.nowMs() + QUEUES_EMPTY_MS + Math.max(MIN_REPORT_SPAN_MS, statistics.reportSpanMs());
        }
        judgeAtMs = (isCut ? forgetAtMs : context.nowMs()) + JUDGE_AGAIN_MS;
        shed((1 - admissionRatio) * workPerSecond);
        return admissionRatio != before;
    }

    private double nextRatio(FleetStatistics statistics) {
        double lateness = statistics.highLateness();
        if (lateness > OVERLOAD_LATENESS && statistics.usualLateness() > UNHURRIED_LATENESS) {
            double bySuccess = CUT_TARGET_SUCCESS * statistics.succeeded() / statistics.ended();
            double cut = Math.max(MIN_FACTOR_PER_CUT, Math.min(CUT_TARGET_LATENESS / lateness, bySuccess));
            return Math.max(MIN_ADMISSION_RATIO, admissionRatio * cut);
        }
        if (lateness < RECOVERY_LATENESS && admissionRatio < 1) {
            return Math.min(1, admissionRatio * (1 + (RECOVERY_GAIN_AT_ZERO_LATENESS - lateness)));
        }
        return admissionRatio;
    }

    /** Spreads what is shed: taken where a unit of work, by its objective, earns least. */
    private void shed(double workPerSecond) {
        List<Integer> cheapestFirst = IntStream.range(0, operations.size())
                .boxed()
                .sorted(Comparator.comparingDouble(this::valuePerWork))
                .toList();
        Arrays.fill(admissionRatios, 1);
        double left = workPerSecond;
        for (double floor : SHEDDING_FLOORS) {
            for (int operation : cheapestFirst) {
                double work = context.statistics().workPerSecond(operation);
                double taken = Math.min(left, Math.max(0, admissionRatios[operation] - floor) * work);
                admissionRatios[operation] -= work > 0 ? taken / work : 0;
                left -= taken;
            }
        }
    }

    private double valuePerWork(int operation) {
        return operations.get(operation).value() / operations.get(operation).objectiveMs();
    }

    /** How proxies retry now. */
    RetryPolicy retryPolicy() {
        return storm.isStorm() && admissionRatio < MIN_RATIO_FOR_RETRIES
                ? RetryPolicy.NONE
                : RetryPolicy.ONE_IF_NOT_EXECUTED;
    }

    /** Whether this operation's admission must be written to the table. */
    boolean isDue(EndpointTable table, int operation) {
        return !context.registry().isSharded()
                && table.isFor(operation)
                && (table.retryPolicy() != retryPolicy()
                        || Math.abs(table.admissionRatio(operation) - admissionRatios[operation]) > MIN_CHANGE);
    }

    /** Operations whose admission must be written to the table. */
    IntStream due(EndpointTable table) {
        return IntStream.range(0, operations.size()).filter(operation -> isDue(table, operation));
    }

    /** Whether the table admits more than it should: as urgent as an ejection, as each moment of overload lengthens it. */
    boolean isCutDue(EndpointTable table) {
        return due(table).anyMatch(operation -> admissionRatios[operation] < table.admissionRatio(operation));
    }

    /** Writes what is due of admission and retry policy. */
    void write(EndpointTable table) {
        due(table).forEach(operation -> write(table, operation));
        table.setRetryPolicy(retryPolicy());
    }

    private void write(EndpointTable table, int operation) {
        double ratio = admissionRatios[operation];
        table.setAdmissionRatio(operation, ratio);
        double admission = context.settings().measure() == Measure.PER_SECOND ? perSecond(table, operation) : ratio;
        context.writer().writeAdmission(table, operation, admission, retryPolicy());
    }

    private double perSecond(EndpointTable table, int operation) {
        Collection<ProxyState> users = context.registry().usersOf(table);
        double requestsPerUser = users.stream()
                        .mapToDouble(proxy -> proxy.requestsPerSecond(operation))
                        .sum()
                / Math.max(1, users.size());
        double ratio = admissionRatios[operation];
        return ratio < 1 ? ratio * requestsPerUser : UNLIMITED_PER_SECOND;
    }

    /** When time alone next changes what is known, or infinity. */
    double nextDueMs() {
        return forgetAtMs;
    }
}
