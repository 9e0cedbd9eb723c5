package linenring.planner;

import java.util.List;
import java.util.stream.Stream;

/**
 * Binds proxies to tables, which is the second of the three stages of an update: add the new table, bind, clear the
 * old table. Inputs: the written tables, the entries that each bind takes, the free capacity of the channel queue
 * (entries).
 *
 * <p>A bind replaces everything that a proxy held, including draining hosts, at the cost of one table. To eject each
 * of these hosts first costs more, and the bind is needed anyway. So newly joined proxies are bound before drains are
 * written, at the priority of drains; moves among this controller's tables are ordinary writes.
 *
 * <p>Proxies with the highest request rate are bound first: all binds have the same size, so the smallest-first order
 * of sub-updates does not rank them. The priority has a cost when many proxies join at once: drains wait while a
 * first bind has no room in the queue.
 */
final class ProxyBinder {
    private final PlannerContext context;
    private final PartitionDetector partitions;
    private final SubsetAssigner subsets;
    private boolean hasWaitingFirstBind;

    ProxyBinder(PlannerContext context, PartitionDetector partitions, SubsetAssigner subsets) {
        this.context = context;
        this.partitions = partitions;
        this.subsets = subsets;
    }

    /** Whether the latest round of binds left a newly joined proxy unbound because the channel queue had no room. */
    boolean hasWaitingFirstBind() {
        return hasWaitingFirstBind;
    }

    /** Binds proxies that are not bound to any of this controller's tables yet; returns whether any proxy was bound. */
    boolean bindJoinedProxies() {
        return bindAll(true);
    }

    /** Moves proxies that should be bound to another table; returns whether any proxy was moved. */
    boolean rebindProxies() {
        return bindAll(false);
    }

    private boolean bindAll(boolean firstBindsOnly) {
        context.statistics().refresh();
        hasWaitingFirstBind = false;
        boolean areEntriesWritten = context.registry().tables().stream()
                .allMatch(table -> !table.isEmpty() || table.capacity().notEjectedWeight() == 0);
        boolean any = false;
        for (EndpointTable fullTable : areEntriesWritten ? context.registry().fullTables() : List.<EndpointTable>of()) {
            any |= bindAll(fullTable, firstBindsOnly);
        }
        return any;
    }

    private boolean bindAll(EndpointTable fullTable, boolean firstBindsOnly) {
        List<ProxyState> proxies = proxiesToBind(fullTable)
                .filter(proxy -> !firstBindsOnly || proxy.boundTable(fullTable.fullTableIndex()) == null)
                .toList();
        List<EndpointTable> subsetTables =
                proxies.isEmpty() ? List.of() : subsets.ensureSubsetTables(fullTable, firstBindsOnly);
        boolean any = false;
        for (ProxyState proxy : proxies) {
            EndpointTable zoneTable = partitions.tableFor(proxy, fullTable);
            EndpointTable targetTable =
                    zoneTable != fullTable ? zoneTable : subsets.leastLoadedTable(subsetTables, fullTable);
            double entries = context.writer().entriesOfBind(proxy, targetTable, context.operationCount());
            WritePriority priority = firstBindsOnly ? WritePriority.DRAIN : WritePriority.ORDINARY;
            if (mustBind(proxy, fullTable) && context.flow().mayWrite(List.of(proxy), entries, priority)) {
                context.writer().bind(proxy, targetTable, entries);
                any = true;
            } else {
                hasWaitingFirstBind |= firstBindsOnly
                        && !context.flow().fitsInQueue(context.flow().cost(proxy, entries));
            }
        }
        return any;
    }

    private Stream<ProxyState> proxiesToBind(EndpointTable fullTable) {
        boolean isWritten = context.registry().isFullTable(fullTable) && !fullTable.isEmpty();
        return context.fleet().joinedProxies().stream()
                .filter(proxy -> isWritten && fullTable.servesZone(proxy.zone()) && mustBind(proxy, fullTable));
    }

    private boolean mustBind(ProxyState proxy, EndpointTable fullTable) {
        EndpointTable currentTable = proxy.boundTable(fullTable.fullTableIndex());
        EndpointTable targetTable = partitions.tableFor(proxy, fullTable);
        return currentTable != targetTable
                && (currentTable == null || targetTable != fullTable || subsets.mustMoveProxies(currentTable));
    }

    /** Number of entries in the pending binds of proxies that need this full table or a table in its place. */
    double pendingBindEntries(EndpointTable fullTable) {
        return proxiesToBind(fullTable).count() * (1.0 + fullTable.entryCount());
    }
}
