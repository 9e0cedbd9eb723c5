package linenring.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TableRegistryTest {
    private final Host first = new Host(0);
    private final Host second = new Host(1);
    private final List<Host> hosts = new ArrayList<>(List.of(first, second));
    private final TableRegistry registry =
            new TableRegistry(hosts, List.of(FakeHost.operation(1, FakeHost.ALL), FakeHost.operation(2, 1)));

    @Test
    void forgetTakesAHostOutOfPartsAndLeavesTheListOfAllHosts() {
        Table full = registry.add(0, -1);
        Table part = registry.add(0, -1);
        part.members = new ArrayList<>(hosts);
        registry.forget(first);
        assertEquals(List.of(second), part.members);
        assertEquals(2, full.members.size());
    }

    @Test
    void findsTheTablesThatHoldAHost() {
        Table full = registry.add(0, -1);
        registry.add(0, -1);
        full.setWeight(second, 0.5);
        assertEquals(List.of(full), registry.holding(second));
        full.setWeight(second, 0);
        assertEquals(List.of(), registry.holding(second));
    }

    @Test
    void addsASlicesTableOnce() {
        Table slice = registry.ofSlice(7);
        assertSame(slice, registry.ofSlice(7));
        assertEquals(1, registry.tables.size());
    }

    @Test
    void givesATableTheFirstOperationOfItsMask() {
        assertEquals(2, registry.add(2, -1).operation.value());
        assertEquals(1, registry.add(0, -1).operation.value());
    }
}
