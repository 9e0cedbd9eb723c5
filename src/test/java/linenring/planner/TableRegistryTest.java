package linenring.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class TableRegistryTest {
    private final Fleet fleet = new Fleet();
    private final Host first = fleet.host(0);
    private final Host second = fleet.host(1);
    private final TableRegistry registry = new TableRegistry(
            fleet, List.of(FakeProxies.operation(1, FakeProxies.ALL), FakeProxies.operation(2, 1)), false);

    @Test
    void forgetTakesHostOutOfSubsetTablesAndLeavesListOfAllHosts() {
        EndpointTable full = registry.addFullTable(0, EndpointTable.ALL_ZONES);
        first.assignTo(0);
        second.assignTo(0);
        EndpointTable subset = registry.addSubsetTable(full, 0, 1);
        assertEquals(List.of(first, second), subset.members());
        registry.forget(first);
        assertEquals(List.of(second), subset.members());
        assertEquals(2, full.members().size());
    }

    @Test
    void findsTablesThatHoldHost() {
        EndpointTable full = registry.addFullTable(0, EndpointTable.ALL_ZONES);
        registry.addFullTable(0, EndpointTable.ALL_ZONES);
        full.setWeight(second, 0.5);
        assertEquals(List.of(full), registry.holding(second));
        full.setWeight(second, 0);
        assertEquals(List.of(), registry.holding(second));
    }

    @Test
    void addsTableOfShardOnce() {
        EndpointTable shard = registry.ofShard(7);
        assertSame(shard, registry.ofShard(7));
        assertEquals(1, registry.tables().size());
    }

    @Test
    void givesTableTheHostsOfFirstOperationInItsMask() {
        first.update(0, 0, 1);
        second.update(1, 0, 1);
        assertFalse(registry.addFullTable(2, EndpointTable.ALL_ZONES).accepts(second));
        assertTrue(registry.addFullTable(2, EndpointTable.ALL_ZONES).accepts(first));
        assertTrue(registry.addFullTable(0, EndpointTable.ALL_ZONES).accepts(second));
    }
}
