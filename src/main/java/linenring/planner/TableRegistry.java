package linenring.planner;

import java.util.ArrayList;
import java.util.List;
import linenring.planner.PlannerSettings.Operation;

/** The shared tables, and their numbers at the proxies. */
final class TableRegistry {
    private static final int LAST_NUMBER = 65_534;

    /** The full ones first. */
    final List<Table> tables = new ArrayList<>();

    private final List<Host> hosts;
    private final List<Operation> allOperations;
    private int lastNumber;

    TableRegistry(List<Host> hosts, List<Operation> allOperations) {
        this.hosts = hosts;
        this.allOperations = allOperations;
    }

    /** Adds a table under the next number, for all hosts that its operations and its zone allow. */
    Table add(int operations, int homeZone) {
        lastNumber = lastNumber % LAST_NUMBER + 1;
        return add(operations, homeZone, lastNumber);
    }

    /** The table with this number; a slice has one for all operations. */
    Table ofSlice(int number) {
        for (Table table : tables) {
            if (table.number == number) {
                return table;
            }
        }
        return add(0, -1, number);
    }

    private Table add(int operations, int homeZone, int number) {
        Table table = new Table(number, operations, anyOf(operations), homeZone, tables.size(), hosts);
        tables.add(table);
        return table;
    }

    /** One of the operations in the mask; all are open to the same hosts. */
    private Operation anyOf(int mask) {
        return allOperations.get(Integer.numberOfTrailingZeros(mask) % allOperations.size());
    }

    /** Takes a host out of the members of all tables. */
    void forget(Host host) {
        for (Table table : tables) {
            if (table.members != hosts) {
                table.members.remove(host);
            }
        }
    }

    List<Table> holding(Host host) {
        return tables.stream().filter(table -> table.holds(host)).toList();
    }
}
