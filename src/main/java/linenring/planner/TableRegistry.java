package linenring.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import linenring.planner.PlannerSettings.Operation;

/** The shared tables, their numbers at the proxies, and who uses them. The full tables come before all others. */
final class TableRegistry {
    /** Numbers are 16 bits on the wire, and 0 and 65,535 have meanings of their own there. */
    private static final int LAST_NUMBER = 65_534;

    private final List<EndpointTable> tables = new ArrayList<>();
    private final Fleet fleet;
    private final List<Operation> allOperations;
    private final boolean sharded;
    private int lastNumber;
    private int fullTables;

    TableRegistry(Fleet fleet, List<Operation> allOperations, boolean sharded) {
        this.fleet = fleet;
        this.allOperations = allOperations;
        this.sharded = sharded;
    }

    /** A full table for each set of operations open to the same hosts, in each zone where they are confined to it. */
    void addFullTables(PlannerSettings settings) {
        for (int i = 0; i < allOperations.size() && !sharded; i++) {
            int alike = settings.operationsOpenToSameHosts(i);
            boolean isFirstOfItsSet = Integer.numberOfTrailingZeros(alike) == i;
            if (isFirstOfItsSet) {
                addFullTables(Integer.bitCount(alike) == allOperations.size() ? 0 : alike, allOperations.get(i));
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
        fullTables++;
        return add(nextNumber(), operations, homeZone, tables.size());
    }

    /** The table in place of a full one for proxies of one zone, with the hosts of that zone. */
    void ensureZoneTable(EndpointTable full, int zone) {
        boolean exists =
                tables.stream().anyMatch(table -> table.fullTable() == full.fullTable() && table.homeZone() == zone);
        if (!exists) {
            add(nextNumber(), full.operations(), zone, full.fullTable());
        }
    }

    /** The table in place of a full one with these subsets, or null. */
    EndpointTable findSubsetTable(EndpointTable full, int firstSubset, int subsetCount) {
        for (EndpointTable table : tables) {
            if (table.fullTable() == full.fullTable()
                    && table.firstSubset() == firstSubset
                    && table.subsetCount() == subsetCount) {
                return table;
            }
        }
        return null;
    }

    EndpointTable addSubsetTable(EndpointTable full, int firstSubset, int subsetCount) {
        EndpointTable table = new EndpointTable(
                nextNumber(),
                full.operations(),
                anyOf(full.operations()),
                full.homeZone(),
                full.fullTable(),
                firstSubset,
                subsetCount,
                new ArrayList<>());
        fleet.hosts().stream().filter(table::accepts).forEach(table::addMember);
        tables.add(table);
        return table;
    }

    /** The table of a shard, which has one for all operations. */
    EndpointTable ofShard(int number) {
        for (EndpointTable table : tables) {
            if (table.number() == number) {
                return table;
            }
        }
        return add(number, 0, EndpointTable.ALL_ZONES, tables.size());
    }

    private int nextNumber() {
        lastNumber = lastNumber % LAST_NUMBER + 1;
        return lastNumber;
    }

    private EndpointTable add(int number, int operations, int homeZone, int fullTable) {
        EndpointTable table = new EndpointTable(
                number, operations, anyOf(operations), homeZone, fullTable, Host.WITHOUT_SUBSET, 0, fleet.hosts());
        tables.add(table);
        return table;
    }

    /** One of the operations in the mask; all are open to the same hosts. */
    private Operation anyOf(int mask) {
        return allOperations.get(Integer.numberOfTrailingZeros(mask) % allOperations.size());
    }

    /** Whether keys are split over shards, each with a table of its own that has one entry. */
    boolean isSharded() {
        return sharded;
    }

    /** All tables, the full ones first; a live view. */
    List<EndpointTable> tables() {
        return Collections.unmodifiableList(tables);
    }

    /** The full tables; a copy, so that tables may be added meanwhile. */
    List<EndpointTable> fullTables() {
        return List.copyOf(tables.subList(0, fullTables));
    }

    int fullTableCount() {
        return fullTables;
    }

    /** The full table that this one stands for. */
    EndpointTable fullTableOf(EndpointTable table) {
        return tables.get(table.fullTable());
    }

    boolean isFull(EndpointTable table) {
        return table.fullTable() < fullTables && fullTableOf(table) == table;
    }

    /** Whether requests may go by it, now or with the next proxy that joins. */
    boolean isInUse(EndpointTable table) {
        return sharded || isFull(table) || !table.users().isEmpty();
    }

    void removeAll(List<EndpointTable> unused) {
        tables.removeAll(unused);
    }

    /** Takes a host that is forgotten out of the members of all tables. */
    void forget(Host host) {
        for (EndpointTable table : tables) {
            if (table.isOfSubsets()) {
                table.removeMember(host);
            }
        }
    }

    /** The tables that have an entry for the host. */
    List<EndpointTable> holding(Host host) {
        return tables.stream().filter(table -> table.holds(host)).toList();
    }

    /** The proxies that get what is written to the table. */
    Collection<ProxyState> usersOf(EndpointTable table) {
        return sharded ? fleet.joined() : table.users();
    }

    /** Whether requests of the proxy may go to the host: one that is not bound yet may hold any. */
    boolean mayHold(ProxyState proxy, Host host) {
        return sharded || proxy.mayHold(host);
    }

    /** The proxies that may hold the host, and so get a message about it. */
    List<ProxyState> holdersOf(Host host) {
        return fleet.joined().stream().filter(proxy -> mayHold(proxy, host)).toList();
    }
}
