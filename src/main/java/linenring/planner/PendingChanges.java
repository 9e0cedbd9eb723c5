package linenring.planner;

import java.util.List;
import java.util.stream.Stream;

/**
 * What is pending for each table: the difference between the state wanted and the state last written. Nothing is noted down
 * before it is sent, so what changes back meanwhile is never sent, and later changes merge into the next version of the table.
 */
final class PendingChanges {
    /** A weight that differs by less is not written: a ramp is a dozen steps. */
    private static final double MIN_WEIGHT_CHANGE = 0.12;

    private final PlannerContext context;
    private final SlowStart slowStart;
    private final RetryStormGuard storm;
    private final AdmissionController admission;

    PendingChanges(PlannerContext context, SlowStart slowStart, RetryStormGuard storm, AdmissionController admission) {
        this.context = context;
        this.slowStart = slowStart;
        this.storm = storm;
        this.admission = admission;
    }

    /** Whether the host's entry in the table must be written. */
    boolean isDue(Host host, EndpointTable table) {
        double wanted = slowStart.targetWeight(host, table);
        double written = table.weight(host);
        return (written > 0 || !storm.holdsBack(host))
                && ((wanted == 0) != (written == 0)
                        || Math.abs(wanted - written) > MIN_WEIGHT_CHANGE * Math.max(wanted, written)
                        || (wanted == host.weight() && written != wanted));
    }

    private Stream<Host> dueHosts(EndpointTable table) {
        return table.members().stream().filter(host -> isDue(host, table));
    }

    /** The hosts whose entries go with the next piece of the table's sub-update. */
    List<Host> nextPiece(EndpointTable table) {
        return dueHosts(table).limit(context.flow().maxPieceEntries(table)).toList();
    }

    /** Entries and admissions that must be written to the table. */
    int count(EndpointTable table) {
        long admissions = admission.due(table).count();
        return (int) (admissions + dueHosts(table).count());
    }

    /** Entries and admissions that must be written to the table, over all its users. */
    double unsentEntries(EndpointTable table) {
        return count(table) * context.registry().usersOf(table).size();
    }

    /** Writes what is due to the table, a piece of it at most. */
    void write(EndpointTable table) {
        dueHosts(table)
                .limit(context.flow().maxPieceEntries(table))
                .forEach(host -> context.writer().writeEntry(host, table, slowStart.targetWeight(host, table)));
        admission.write(table);
        table.markWritten(context.nowMs());
    }

    /** Whether an ejected host serves again: it is healthy, warm enough, and every table has its due weight. */
    boolean mayRestore(Host host) {
        return host.isEjected()
                && host.isRunning()
                && !host.health().isUnhealthy()
                && !storm.holdsBack(host)
                && context.registry().tables().stream().noneMatch(table -> isDue(host, table))
                && context.flow().mayInterrupt(host);
    }
}
