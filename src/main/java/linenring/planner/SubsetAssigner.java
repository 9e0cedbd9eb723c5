package linenring.planner;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Assigns the hosts to subsets and decides how many subsets make up the table of each proxy. Inputs: the channel's
 * rate (entries a second) and queue, the number of proxies and entries, the size of a default table (entries), and
 * the usual request rates.
 *
 * <p>Failure guarded against: tables that exceed the capacity of the channel. Full tables for 160 proxies take 28 s
 * at 1,200 entries a second; until then joining proxies use a few hosts from old tables, which drains and host
 * losses empty. Where full tables for all proxies take more than a third of the slow start ramp of 10 s, in which
 * tables change anyway, each proxy gets as many entries as can be sent in that time. Joining proxies that would
 * wait more than a second for such a table first get one of the default table's size.
 *
 * <p>Subsetting could do harm by uneven load, and a proxy whose few hosts are all slow has no others. So new hosts
 * join the subset with the least capacity, and some proxies of an overloaded subset move to another.
 */
final class SubsetAssigner {
    /**
     * Longest time for which the channel may be busy sending a table to each proxy: a third of the slow start ramp
     * of 10 s.
     */
    private static final double MAX_TABLE_SEND_TIME_MS = 3300;
    /**
     * Factor by which full tables must exceed the channel's capacity before subsets replace them; the margin avoids
     * switching back and forth.
     */
    private static final double SUBSETTING_HYSTERESIS = 1.25;
    /** Wait above which joining proxies first get a table of one subset. */
    private static final double MAX_JOIN_WAIT_MS = 1000;

    private static final int MIN_HOSTS_PER_SUBSET = 2;
    /**
     * Fewest tables among which the proxies are distributed, so that proxies can move away from an overloaded
     * table.
     */
    private static final int MIN_SUBSET_TABLES = 2;
    /**
     * Factor by which the number of subsets per table must be too large or too small before it changes, as each
     * change moves proxies.
     */
    private static final double MIN_CHANGE_FACTOR = 2;
    /**
     * Multiple of the fleet's mean load per capacity from which proxies leave a table: its hosts can then serve two
     * thirds of the demand that other hosts could.
     */
    private static final double OVERLOAD_FACTOR = 1.5;
    /** Load added to each table, so that capacity decides among tables without users. */
    private static final double MIN_LOAD = 1e-6;
    /**
     * Added to the capacity rank of a subset without a warm host, so that new hosts go to all other subsets first:
     * a table of this subset would send requests to cold hosts alone.
     */
    private static final double PENALTY_WITHOUT_WARM_HOST = 1e6;

    private final PlannerContext context;
    private final PendingChanges pendingChanges;
    private final PartitionDetector partitionDetector;
    /** Number of subsets that hosts are assigned to, or 0 if there are none. */
    private int subsetCount;
    /** Number of subsets that make up a table, or 0 for full tables. */
    private int subsetsPerTable;

    private boolean joinSurge;

    SubsetAssigner(PlannerContext context, PendingChanges pendingChanges, PartitionDetector partitionDetector) {
        this.context = context;
        this.pendingChanges = pendingChanges;
        this.partitionDetector = partitionDetector;
    }

    /** Whether more proxies join than the channel can send tables to in time. */
    boolean isJoinSurge() {
        return joinSurge;
    }

    /**
     * Decides on the number of subsets and of subsets per table, assigns new hosts to subsets, and clears unused
     * tables.
     */
    void updateSubsets() {
        context.statistics().refresh();
        int hostsPerSubset = Math.max(MIN_HOSTS_PER_SUBSET, context.settings().defaultTableEntries());
        double affordableEntries = affordableEntries();
        double entriesOfFullTables = context.registry().fullTables().stream()
                .mapToDouble(table -> table.entryCount() / table.zoneTableCount())
                .sum();
        boolean isTooLarge = !isSharded()
                && entriesOfFullTables > (subsetsPerTable > 0 ? 1 : SUBSETTING_HYSTERESIS) * affordableEntries;
        joinSurge = isJoinSurge(Math.min(entriesOfFullTables, Math.max(hostsPerSubset, affordableEntries)));
        if ((joinSurge || isTooLarge) && subsetCount == 0) {
            createSubsets(hostsPerSubset);
        }
        updateSubsetsPerTable(
                isTooLarge && subsetCount > 1 ? subsetsThatFit(affordableEntries / entriesOfFullTables) : 0);
        context.fleet().forEachHost(this::needsSubset, this::assignNewHost);
        clearUnusedTables();
        if (!joinSurge && !isTooLarge) {
            removeSubsetsUnlessUsed();
        }
    }

    private boolean needsSubset(Host host) {
        return subsetCount > 0 && host.isRunning() && host.subset() == Host.WITHOUT_SUBSET;
    }

    private void removeSubsetsUnlessUsed() {
        if (context.registry().tables().stream().noneMatch(EndpointTable::isSubsetTable)) {
            context.fleet().hosts().forEach(host -> host.assignTo(Host.WITHOUT_SUBSET));
            subsetCount = 0;
        }
    }

    private boolean isSharded() {
        return context.registry().isSharded();
    }

    /** Largest number of table entries that the channel can send to each proxy in time. */
    private double affordableEntries() {
        int proxies = Math.max(1, context.fleet().joinedProxies().size());
        return MAX_TABLE_SEND_TIME_MS * channel().entriesPerMs() / proxies
                - channel().messageCost()
                - 1
                - context.operationCount();
    }

    private PlannerSettings.Channel channel() {
        return context.settings().channel();
    }

    private boolean isJoinSurge(double entriesPerJoiningProxy) {
        double joiningProxies = context.fleet().joinedProxies().stream()
                .filter(ProxyState::isAwaitingFirstBind)
                .count();
        return !isSharded()
                && context.flow().queuedEntries() + joiningProxies * entriesPerJoiningProxy
                        > MAX_JOIN_WAIT_MS * channel().entriesPerMs();
    }

    /**
     * Assigns the warm hosts that are not ejected to subsets in turn, ordered by zone and kind, so that each subset
     * has hosts of each.
     */
    private void createSubsets(int hostsPerSubset) {
        List<Host> servingHosts = context.fleet().hosts().stream()
                .filter(host -> host.isRunning()
                        && !host.isEjected()
                        && context.warmUp().isWarm(host))
                .sorted(Comparator.comparingInt(Host::zone).thenComparingInt(Host::kind))
                .toList();
        subsetCount = servingHosts.isEmpty() ? 0 : Math.max(1, servingHosts.size() / hostsPerSubset);
        IntStream.range(0, servingHosts.size())
                .forEach(index -> servingHosts.get(index).assignTo(index % subsetCount));
    }

    /**
     * Number of subsets that fit into a table, at least 1; 0 if all subsets fit, since only then is the remainder
     * 0.
     */
    private int subsetsThatFit(double affordableShare) {
        return (int) Math.max(1, subsetCount * Math.min(1, affordableShare)) % subsetCount;
    }

    private void updateSubsetsPerTable(int fittingSubsets) {
        boolean isLargeChange = fittingSubsets > MIN_CHANGE_FACTOR * subsetsPerTable
                || MIN_CHANGE_FACTOR * fittingSubsets < subsetsPerTable;
        subsetsPerTable =
                fittingSubsets == 0 || subsetsPerTable == 0 || isLargeChange ? fittingSubsets : subsetsPerTable;
    }

    /** Assigns a new host to the subset with the least capacity. */
    private void assignNewHost(Host host) {
        host.assignTo(IntStream.range(0, subsetCount)
                .boxed()
                .min(Comparator.comparing(this::capacityRank))
                .orElse(0));
        context.registry().tables().stream()
                .filter(table -> table.isSubsetTable() && table.accepts(host))
                .forEach(table -> table.addMember(host));
        context.statistics().markStale();
    }

    /**
     * Returns the guaranteed capacity of a subset's hosts, by which the subset for a new host is picked; a subset
     * without a warm host ranks above all others.
     */
    private double capacityRank(int subset) {
        List<Host> hosts = context.fleet().hosts().stream()
                .filter(host -> host.isRunning() && host.subset() == subset)
                .toList();
        return hosts.stream()
                        .mapToDouble(host -> host.weight() * context.warmUp().guaranteedCapacity(host))
                        .sum()
                + (hosts.stream().anyMatch(context.warmUp()::isWarm) ? 0 : PENALTY_WITHOUT_WARM_HOST);
    }

    private void clearUnusedTables() {
        List<EndpointTable> unusedTables =
                context.registry().tables().stream().filter(this::isUnused).toList();
        unusedTables.forEach(context.writer()::clear);
        context.registry().removeAll(unusedTables);
    }

    private boolean isUnused(EndpointTable table) {
        boolean isOutdated = !table.isSubsetTable()
                || (!joinSurge && (subsetsPerTable == 0 || Math.abs(table.subsetCount() - subsetsPerTable) > 1));
        return !context.registry().isInUse(table) && isOutdated && !partitionDetector.isAnyZonePartitioned();
    }

    /**
     * Returns the subset tables that replace a full table, or none where the full table is used; missing tables are
     * created, and empty ones written.
     */
    List<EndpointTable> ensureSubsetTables(EndpointTable fullTable, boolean isJoining) {
        int targetSubsetsPerTable = isJoining && joinSurge ? 1 : subsetsPerTable;
        int tableCount = targetSubsetsPerTable == 0
                ? 0
                : Math.min(subsetCount, Math.max(MIN_SUBSET_TABLES, subsetCount / targetSubsetsPerTable));
        List<EndpointTable> tables = IntStream.range(0, tableCount)
                .mapToObj(index -> subsetTable(
                        fullTable, index * subsetCount / tableCount, (index + 1) * subsetCount / tableCount))
                .toList();
        context.statistics().refresh();
        tables.stream().filter(EndpointTable::isEmpty).forEach(pendingChanges::write);
        return tables;
    }

    private EndpointTable subsetTable(EndpointTable fullTable, int firstSubset, int endSubset) {
        EndpointTable existingTable =
                context.registry().findSubsetTable(fullTable, firstSubset, endSubset - firstSubset);
        if (existingTable != null) {
            return existingTable;
        }
        context.statistics().markStale();
        return context.registry().addSubsetTable(fullTable, firstSubset, endSubset - firstSubset);
    }

    /** Returns the table with the least load per capacity, or the full table where no table has a warm host. */
    EndpointTable leastLoadedTable(List<EndpointTable> tables, EndpointTable fullTable) {
        return tables.stream()
                .filter(table -> table.capacity().warmWeight() > 0)
                .min(Comparator.comparingDouble(table -> (load(table.boundProxies()) + MIN_LOAD)
                        / table.capacity().guaranteedWeight()))
                .orElse(fullTable);
    }

    /**
     * Whether a proxy must move from this table to another: full tables are used again, tables are made of more
     * than twice as many subsets, or the table's hosts are overloaded beside others because hosts have left its
     * subsets.
     */
    boolean mustMoveProxies(EndpointTable table) {
        return subsetsPerTable == 0
                || !table.isSubsetTable()
                || MIN_CHANGE_FACTOR * table.subsetCount() < subsetsPerTable
                || isOverloaded(table);
    }

    private boolean isOverloaded(EndpointTable table) {
        TableCapacity fullCapacity = context.registry().fullTableOf(table).capacity();
        return load(table.boundProxies()) * fullCapacity.guaranteedWeight()
                > OVERLOAD_FACTOR
                        * fullCapacity.requestsPerSecond()
                        * table.capacity().guaranteedWeight();
    }

    private static double load(Collection<ProxyState> proxies) {
        return FleetStatistics.usualRequestsPerSecond(proxies);
    }
}
