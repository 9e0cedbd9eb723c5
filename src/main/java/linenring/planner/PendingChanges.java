package linenring.planner;

import java.util.List;
import java.util.stream.Stream;

/**
 * Computes the pending changes of each table: the difference between its target state and its last written state.
 * Changes are not stored before they are sent, so a change that is reverted in the meantime is never sent, and
 * successive changes merge into one sub-update of the table.
 */
final class PendingChanges {
    /** Smallest relative change of a weight that is written; it divides a slow start into about a dozen steps. */
    private static final double MIN_RELATIVE_WEIGHT_CHANGE = 0.12;

    private final PlannerContext context;
    private final SlowStart slowStart;
    private final RetryStormGuard stormGuard;
    private final AdmissionController admission;

    PendingChanges(
            PlannerContext context, SlowStart slowStart, RetryStormGuard stormGuard, AdmissionController admission) {
        this.context = context;
        this.slowStart = slowStart;
        this.stormGuard = stormGuard;
        this.admission = admission;
    }

    /** Whether the host's target weight differs enough from its written weight that the table entry must be written. */
    boolean mustWriteEntry(Host host, EndpointTable table) {
        double targetWeight = slowStart.targetWeight(host, table);
        double writtenWeight = table.weight(host);
        return (writtenWeight > 0 || !stormGuard.mustKeepOut(host))
                && ((targetWeight == 0) != (writtenWeight == 0)
                        || Math.abs(targetWeight - writtenWeight)
                                > MIN_RELATIVE_WEIGHT_CHANGE * Math.max(targetWeight, writtenWeight)
                        || (targetWeight == host.weight() && writtenWeight != targetWeight));
    }

    private Stream<Host> hostsToWrite(EndpointTable table) {
        return table.members().stream().filter(host -> mustWriteEntry(host, table));
    }

    /** Returns the hosts whose entries are written with the next piece of the table's sub-update. */
    List<Host> nextPiece(EndpointTable table) {
        return hostsToWrite(table).limit(context.flow().maxPieceEntries(table)).toList();
    }

    /** Number of entries and admission ratios that must be written to the table. */
    int pendingWrites(EndpointTable table) {
        long admissions = admission.operationsToWrite(table).count();
        return (int) (admissions + hostsToWrite(table).count());
    }

    /** Number of entries and admission ratios that must be sent for the table, summed over all proxies that use it. */
    double pendingEntries(EndpointTable table) {
        return pendingWrites(table) * context.registry().proxiesUsing(table).size();
    }

    /**
     * Writes the next piece of the table's sub-update: pending entries, up to the size limit of a piece, and pending
     * admission ratios.
     */
    void write(EndpointTable table) {
        hostsToWrite(table)
                .limit(context.flow().maxPieceEntries(table))
                .forEach(host -> context.writer().writeEntry(host, table, slowStart.targetWeight(host, table)));
        admission.write(table);
        table.markWritten(context.nowMs());
    }

    /**
     * Whether an ejected host may be restored: it is running, healthy and warm enough, and all tables have its target
     * weight.
     */
    boolean mayRestore(Host host) {
        return host.isEjected()
                && host.isRunning()
                && !host.health().isUnhealthy()
                && !stormGuard.mustKeepOut(host)
                && context.registry().tables().stream().noneMatch(table -> mustWriteEntry(host, table))
                && context.flow().mayBypassWindows(host);
    }
}
