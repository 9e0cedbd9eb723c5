package linenring.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import linenring.planner.PlannerSettings.Operation;

/**
 * Registry of the shared endpoint tables, with their numbers at the proxies. Full tables are listed before all other
 * tables.
 */
final class TableRegistry {
    /** Highest table number: numbers have 16 bits on the wire, where 0 and 65,535 are reserved. */
    private static final int MAX_TABLE_NUMBER = 65_534;

    private final List<EndpointTable> tables = new ArrayList<>();
    private final Fleet fleet;
    private final List<Operation> allOperations;
    private final boolean sharded;
    private int lastTableNumber;
    private int fullTableCount;

    TableRegistry(Fleet fleet, List<Operation> allOperations, boolean sharded) {
        this.fleet = fleet;
        this.allOperations = allOperations;
        this.sharded = sharded;
    }

    /**
     * Adds a full table for each group of operations that may run on the same hosts; one in each zone if the group is
     * confined to the home zone.
     */
    void addFullTables(PlannerSettings settings) {
        for (int i = 0; i < allOperations.size() && !sharded; i++) {
            int sameHostsMask = settings.operationsOpenToSameHosts(i);
            boolean isFirstOfMask = Integer.numberOfTrailingZeros(sameHostsMask) == i;
            if (isFirstOfMask) {
                addFullTables(
                        Integer.bitCount(sameHostsMask) == allOperations.size() ? 0 : sameHostsMask,
                        allOperations.get(i));
            }
        }
    }

    private void addFullTables(int operations, Operation operation) {
        if (!operation.homeZoneOnly()) {
            addFullTable(operations, EndpointTable.ALL_ZONES);
            return;
        }
        for (int zone = 0; zone < operation.zoneCount(); zone++) {
            addFullTable(operations, zone);
        }
    }

    EndpointTable addFullTable(int operations, int homeZone) {
        fullTableCount++;
        return add(nextTableNumber(), operations, homeZone, tables.size());
    }

    /**
     * Adds the table that replaces a full table for the proxies of one zone and holds the hosts of that zone, unless
     * it exists.
     */
    void ensureZoneTable(EndpointTable fullTable, int zone) {
        boolean exists = tables.stream()
                .anyMatch(table -> table.fullTableIndex() == fullTable.fullTableIndex() && table.homeZone() == zone);
        if (!exists) {
            add(nextTableNumber(), fullTable.operations(), zone, fullTable.fullTableIndex());
        }
    }

    /** Returns the table that replaces a full table and holds the given subsets, or null if there is none. */
    EndpointTable findSubsetTable(EndpointTable fullTable, int firstSubset, int subsetCount) {
        for (EndpointTable table : tables) {
            if (table.fullTableIndex() == fullTable.fullTableIndex()
                    && table.firstSubset() == firstSubset
                    && table.subsetCount() == subsetCount) {
                return table;
            }
        }
        return null;
    }

    EndpointTable addSubsetTable(EndpointTable fullTable, int firstSubset, int subsetCount) {
        EndpointTable table = new EndpointTable(
                nextTableNumber(),
                fullTable.operations(),
                representativeOperation(fullTable.operations()),
                fullTable.homeZone(),
                fullTable.fullTableIndex(),
                firstSubset,
                subsetCount,
                new ArrayList<>());
        fleet.hosts().stream().filter(table::accepts).forEach(table::addMember);
        tables.add(table);
        return table;
    }

    /** Returns the table of a shard, which applies to all operations; adds the table if it does not exist. */
    EndpointTable shardTable(int shardNumber) {
        for (EndpointTable table : tables) {
            if (table.number() == shardNumber) {
                return table;
            }
        }
        return add(shardNumber, 0, EndpointTable.ALL_ZONES, tables.size());
    }

    private int nextTableNumber() {
        lastTableNumber = lastTableNumber % MAX_TABLE_NUMBER + 1;
        return lastTableNumber;
    }

    private EndpointTable add(int number, int operations, int homeZone, int fullTableIndex) {
        EndpointTable table = new EndpointTable(
                number,
                operations,
                representativeOperation(operations),
                homeZone,
                fullTableIndex,
                Host.WITHOUT_SUBSET,
                0,
                fleet.hosts());
        tables.add(table);
        return table;
    }

    /**
     * Returns one of the operations in the mask; the choice does not matter, since all of them may run on the same
     * hosts.
     */
    private Operation representativeOperation(int mask) {
        return allOperations.get(Integer.numberOfTrailingZeros(mask) % allOperations.size());
    }

    /** Whether keys are split over shards. Each shard has a table of its own with a single entry. */
    boolean isSharded() {
        return sharded;
    }

    /** Returns an unmodifiable view of all tables, full tables first. */
    List<EndpointTable> tables() {
        return Collections.unmodifiableList(tables);
    }

    /** Returns a copy of the list of full tables, so that callers may add tables while they iterate. */
    List<EndpointTable> fullTables() {
        return List.copyOf(tables.subList(0, fullTableCount));
    }

    int fullTableCount() {
        return fullTableCount;
    }

    /** Returns the full table that the given table replaces, or the table itself if it is a full table. */
    EndpointTable fullTableOf(EndpointTable table) {
        return tables.get(table.fullTableIndex());
    }

    boolean isFullTable(EndpointTable table) {
        return table.fullTableIndex() < fullTableCount && fullTableOf(table) == table;
    }

    /** Whether proxies use the table now, or may be bound to it when they join. */
    boolean isInUse(EndpointTable table) {
        return sharded || isFullTable(table) || !table.boundProxies().isEmpty();
    }

    void removeAll(List<EndpointTable> unusedTables) {
        tables.removeAll(unusedTables);
    }

    /** Removes a host from the members of all tables that hold subsets of the fleet. */
    void removeFromSubsetTables(Host host) {
        for (EndpointTable table : tables) {
            if (table.isSubsetTable()) {
                table.removeMember(host);
            }
        }
    }

    /** Returns the tables that have an entry for the host. */
    List<EndpointTable> tablesHolding(Host host) {
        return tables.stream().filter(table -> table.holds(host)).toList();
    }

    /** Returns the proxies that receive the writes to the table. */
    Collection<ProxyState> proxiesUsing(EndpointTable table) {
        return sharded ? fleet.joinedProxies() : table.boundProxies();
    }

    /** Whether the proxy may send requests to the host. A proxy that is not bound yet may hold any host. */
    boolean mayHold(ProxyState proxy, Host host) {
        return sharded || proxy.mayHold(host);
    }

    /** Returns the proxies that may hold the host, and therefore receive messages about it. */
    List<ProxyState> proxiesHolding(Host host) {
        return fleet.joinedProxies().stream()
                .filter(proxy -> mayHold(proxy, host))
                .toList();
    }
}
