package linenring.planner;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Assigns the hosts to subsets and decides how many of these each proxy's table is made of. Inputs: the channel's rate (entries a second)
 * and what waits in it, the number of proxies and entries, the size of a default table (entries), usual requests a second.
 *
 * <p>Failure guarded against: tables that the channel cannot carry. A full table for each of 160 proxies takes 28 s of 1,200
 * entries a second; until then newcomers hold a few hosts of old tables, which drains and losses empty. Where full tables for all
 * proxies take over a third of the ramp of 10 s, by which tables change anyway, each proxy gets what can be sent in that
 * time; newcomers that would wait over a second for it first get a default table's size. It could do harm by uneven load, and
 * a proxy whose few hosts are all slow has no others: so new hosts go where least can be done, and an overloaded subset is
 * left by some of its proxies.
 */
final class SubsetAssigner {
    /** A table for each proxy may take the channel a third of the ramp of 10 s. */
    private static final double TABLES_SENT_WITHIN_MS = 3300;
    /** Full tables are given up only when a quarter too large, which keeps the choice from going back and forth. */
    private static final double MARGIN_BEFORE_SUBSETS = 1.25;
    /** Newcomers that would wait longer for their tables get one subset first. */
    private static final double JOIN_SURGE_MS = 1000;
    /** Fewest hosts in a subset. No reason is recorded for the value. */
    private static final int MIN_HOSTS_PER_SUBSET = 2;
    /** Proxies are shared out among two tables at least, as it may be that one has to be left. */
    private static final int MIN_TABLES = 2;
    /** The number of subsets per table changes only when it is twice too large or too small, as each change moves proxies. */
    private static final double MIN_CHANGE_FACTOR = 2;
    /** A table is left when this many times the fleet's load per capacity is asked of it: it can do two thirds of what others can for it. */
    private static final double OVERLOAD = 1.5;
    /** Stands for the load of a table with no users, so that the weight decides among such. */
    private static final double IDLE_LOAD = 1e-6;
    /** Ranks a subset without a warm host after all others: requests would have cold hosts alone. */
    private static final double WITHOUT_WARM_HOST = 1e6;

    private final PlannerContext context;
    private final PendingChanges changes;
    private final PartitionDetector partitions;
    /** Number of subsets that hosts are assigned to; 0 for none. */
    private int subsets;
    /** Number of subsets that a table is made of, or 0 for full tables. */
    private int subsetsPerTable;

    private boolean joinSurge;

    SubsetAssigner(PlannerContext context, PendingChanges changes, PartitionDetector partitions) {
        this.context = context;
        this.changes = changes;
        this.partitions = partitions;
    }

    /** Whether more proxies join than the channel has tables for. */
    boolean isJoinSurge() {
        return joinSurge;
    }

    /** Decides on subsets and how many a table has, assigns new hosts, and clears tables that nobody needs any more. */
    void assign() {
        context.statistics().refresh();
        int hostsPerSubset = Math.max(MIN_HOSTS_PER_SUBSET, context.settings().defaultTableEntries());
        double affordable = affordableEntries();
        double entries = context.registry().fullTables().stream()
                .mapToDouble(table -> table.entryCount() / table.zoneTables())
                .sum();
        boolean tooLarge = !isSharded() && entries > (subsetsPerTable > 0 ? 1 : MARGIN_BEFORE_SUBSETS) * affordable;
        joinSurge = isJoinSurge(Math.min(entries, Math.max(hostsPerSubset, affordable)));
        if ((joinSurge || tooLarge) && subsets == 0) {
            assignAll(hostsPerSubset);
        }
        updateSubsetsPerTable(tooLarge && subsets > 1 ? subsetsThatFit(affordable / entries) : 0);
        context.fleet().forEachHost(this::mustBeAssigned, this::assignNew);
        clearUnusedTables();
        if (!joinSurge && !tooLarge) {
            dissolveUnlessUsed();
        }
    }

    private boolean mustBeAssigned(Host host) {
        return subsets > 0 && host.isRunning() && host.subset() == Host.WITHOUT_SUBSET;
    }

    private void dissolveUnlessUsed() {
        if (context.registry().tables().stream().noneMatch(EndpointTable::isOfSubsets)) {
            context.fleet().hosts().forEach(host -> host.assignTo(Host.WITHOUT_SUBSET));
            subsets = 0;
        }
    }

    private boolean isSharded() {
        return context.registry().isSharded();
    }

    /** Entries of a table that the channel can send to each proxy in time. */
    private double affordableEntries() {
        int proxies = Math.max(1, context.fleet().joined().size());
        return TABLES_SENT_WITHIN_MS * channel().entriesPerMs() / proxies
                - channel().messageCost()
                - 1
                - context.operationCount();
    }

    private PlannerSettings.Channel channel() {
        return context.settings().channel();
    }

    private boolean isJoinSurge(double entriesOfNewcomer) {
        double newcomers =
                context.fleet().joined().stream().filter(ProxyState::isNewcomer).count();
        return !isSharded()
                && context.flow().waitingEntries() + newcomers * entriesOfNewcomer
                        > JOIN_SURGE_MS * channel().entriesPerMs();
    }

    /** Assigns hosts that can serve in turn, by zone and kind, so that each subset has some of all. */
    private void assignAll(int hostsPerSubset) {
        List<Host> serving = context.fleet().hosts().stream()
                .filter(host -> host.isRunning()
                        && !host.isEjected()
                        && context.warmUp().isWarm(host))
                .sorted(Comparator.comparingInt(Host::zone).thenComparingInt(Host::kind))
                .toList();
        subsets = serving.isEmpty() ? 0 : Math.max(1, serving.size() / hostsPerSubset);
        IntStream.range(0, serving.size()).forEach(index -> serving.get(index).assignTo(index % subsets));
    }

    /** Number of subsets that fit into a table, at least 1; 0 if all fit, as the remainder is 0 only then. */
    private int subsetsThatFit(double affordableShare) {
        return (int) Math.max(1, subsets * Math.min(1, affordableShare)) % subsets;
    }

    private void updateSubsetsPerTable(int fitting) {
        boolean isFar = fitting > MIN_CHANGE_FACTOR * subsetsPerTable || MIN_CHANGE_FACTOR * fitting < subsetsPerTable;
        subsetsPerTable = fitting == 0 || subsetsPerTable == 0 || isFar ? fitting : subsetsPerTable;
    }

    /** Assigns a new host to the subset that can do least. */
    private void assignNew(Host host) {
        host.assignTo(IntStream.range(0, subsets)
                .boxed()
                .min(Comparator.comparing(this::ability))
                .orElse(0));
        context.registry().tables().stream()
                .filter(table -> table.isOfSubsets() && table.accepts(host))
                .forEach(table -> table.addMember(host));
        context.statistics().markStale();
    }

    /** What a subset's hosts can do; more than that of any other where no warm one is in. */
    private double ability(int subset) {
        List<Host> hosts = context.fleet().hosts().stream()
                .filter(host -> host.isRunning() && host.subset() == subset)
                .toList();
        return hosts.stream()
                        .mapToDouble(host -> host.weight() * context.warmUp().leastAbility(host))
                        .sum()
                + (hosts.stream().anyMatch(context.warmUp()::isWarm) ? 0 : WITHOUT_WARM_HOST);
    }

    private void clearUnusedTables() {
        List<EndpointTable> unused =
                context.registry().tables().stream().filter(this::isUnused).toList();
        unused.forEach(context.writer()::clear);
        context.registry().removeAll(unused);
    }

    private boolean isUnused(EndpointTable table) {
        boolean isOutdated = !table.isOfSubsets()
                || (!joinSurge && (subsetsPerTable == 0 || Math.abs(table.subsetCount() - subsetsPerTable) > 1));
        return !context.registry().isInUse(table) && isOutdated && !partitions.isAnyZonePartitioned();
    }

    /**
     * Creates the tables that share out the subsets in place of a full one, where they are missing, and writes those that are
     * empty; returns them, or none for full tables.
     */
    List<EndpointTable> ensureSubsetTables(EndpointTable full, boolean isNewcomer) {
        int wantedSubsetsPerTable = isNewcomer && joinSurge ? 1 : subsetsPerTable;
        int count = wantedSubsetsPerTable == 0
                ? 0
                : Math.min(subsets, Math.max(MIN_TABLES, subsets / wantedSubsetsPerTable));
        List<EndpointTable> tables = IntStream.range(0, count)
                .mapToObj(index -> subsetTable(full, index * subsets / count, (index + 1) * subsets / count))
                .toList();
        context.statistics().refresh();
        tables.stream().filter(EndpointTable::isEmpty).forEach(changes::write);
        return tables;
    }

    private EndpointTable subsetTable(EndpointTable full, int from, int end) {
        EndpointTable known = context.registry().findSubsetTable(full, from, end - from);
        if (known != null) {
            return known;
        }
        context.statistics().markStale();
        return context.registry().addSubsetTable(full, from, end - from);
    }

    /** The table of which least is asked for what its hosts can do, or the full one where none has a warm host. */
    EndpointTable leastLoaded(List<EndpointTable> tables, EndpointTable full) {
        return tables.stream()
                .filter(table -> table.capacity().warmWeight() > 0)
                .min(Comparator.comparingDouble(table ->
                        (load(table.users()) + IDLE_LOAD) / table.capacity().ableWeight()))
                .orElse(full);
    }

    /**
     * Whether a proxy on this table of subsets must move to another: there are full tables again, tables are made of over twice as many subsets,
     * or hosts have left the subsets so that more is asked of them than of others.
     */
    boolean mustLeave(EndpointTable table) {
        return subsetsPerTable == 0
                || !table.isOfSubsets()
                || MIN_CHANGE_FACTOR * table.subsetCount() < subsetsPerTable
                || isOverloaded(table);
    }

    private boolean isOverloaded(EndpointTable table) {
        TableCapacity full = context.registry().fullTableOf(table).capacity();
        return load(table.users()) * full.ableWeight()
                > OVERLOAD * full.requestsPerSecond() * table.capacity().ableWeight();
    }

    private static double load(Collection<ProxyState> proxies) {
        return FleetStatistics.usualRequestsPerSecond(proxies);
    }
}
