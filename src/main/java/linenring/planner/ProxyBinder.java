package linenring.planner;

import java.util.List;
import java.util.stream.Stream;

/**
 * Binds proxies to tables: the second of the three stages of an update (add the new table, bind, clear the old one). Inputs: the
 * tables that are written, the entries that a bind takes, the room in the channel (entries).
 *
 * <p>A bind replaces all that a proxy held, hosts that drain included, at the cost of one table; ejecting each of those hosts
 * costs more, and the bind comes on top. So newcomers are bound before drains are written, with the priority of drains; moves
 * among this controller's tables are ordinary writes. Binds go to the most asked proxies first: they are all of one size, so that the
 * smallest-first order of sub-updates does not tell them apart. It could do harm where many newcomers come at once: drains wait
 * while a newcomer's bind has no room.
 */
final class ProxyBinder {
    private final PlannerContext context;
    private final PartitionDetector partitions;
    private final SubsetAssigner subsets;
    private boolean newcomersWait;

    ProxyBinder(PlannerContext context, PartitionDetector partitions, SubsetAssigner subsets) {
        this.context = context;
        this.partitions = partitions;
        this.subsets = subsets;
    }

    /** Whether a newcomer's bind found no room in the channel in the latest round of binds. */
    boolean newcomersWait() {
        return newcomersWait;
    }

    /** Binds proxies that are bound to none of this controller's tables; whether there was one. */
    boolean bindNewcomers() {
        return bindAll(true);
    }

    /** Moves proxies that should be on another table; whether there was one. */
    boolean moveBound() {
        return bindAll(false);
    }

    private boolean bindAll(boolean newcomersOnly) {
        context.statistics().refresh();
        newcomersWait = false;
        boolean entriesAreWritten = context.registry().tables().stream()
                .allMatch(table -> !table.isEmpty() || table.capacity().admittedWeight() == 0);
        boolean any = false;
        for (EndpointTable full : entriesAreWritten ? context.registry().fullTables() : List.<EndpointTable>of()) {
            any |= bindAll(full, newcomersOnly);
        }
        return any;
    }

    private boolean bindAll(EndpointTable full, boolean newcomersOnly) {
        List<ProxyState> due = proxiesToBind(full)
                .filter(proxy -> !newcomersOnly || proxy.boundTo(full.fullTable()) == null)
                .toList();
        List<EndpointTable> subsetTables = due.isEmpty() ? List.of() : subsets.ensureSubsetTables(full, newcomersOnly);
        boolean any = false;
        for (ProxyState proxy : due) {
            EndpointTable ofZone = partitions.tableFor(proxy, full);
            EndpointTable target = ofZone != full ? ofZone : subsets.leastLoaded(subsetTables, full);
            double entries = context.writer().entriesOfBind(proxy, target, context.operationCount());
            WritePriority priority = newcomersOnly ? WritePriority.DRAIN : WritePriority.ORDINARY;
            if (mustMove(proxy, full) && context.flow().mayWrite(List.of(proxy), entries, priority)) {
                context.writer().bind(proxy, target, entries);
                any = true;
            } else {
                newcomersWait |=
                        newcomersOnly && !context.flow().fits(context.flow().cost(proxy, entries));
            }
        }
        return any;
    }

    private Stream<ProxyState> proxiesToBind(EndpointTable table) {
        boolean isReady = context.registry().isFull(table) && !table.isEmpty();
        return context.fleet().joined().stream()
                .filter(proxy -> isReady && table.servesZone(proxy.zone()) && mustMove(proxy, table));
    }

    private boolean mustMove(ProxyState proxy, EndpointTable full) {
        EndpointTable current = proxy.boundTo(full.fullTable());
        EndpointTable target = partitions.tableFor(proxy, full);
        return current != target && (current == null || target != full || subsets.mustLeave(current));
    }

    /** Entries of the binds of a full table that are not sent yet. */
    double unsentEntries(EndpointTable table) {
        return proxiesToBind(table).count() * (1.0 + table.entryCount());
    }
}
