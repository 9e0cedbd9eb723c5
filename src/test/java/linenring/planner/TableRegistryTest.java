package linenring.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class TableRegistryTest {
    private final Fleet fleet = new Fleet();
    private final Host firstHost = fleet.host(0);
    private final Host secondHost = fleet.host(1);
    private final TableRegistry registry = new TableRegistry(
            fleet, List.of(FakeProxies.operation(1, FakeProxies.ALL), FakeProxies.operation(2, 1)), false);

    @Test
    void forgetRemovesHostFromSubsetTablesOnly() {
        EndpointTable fullTable = registry.addFullTable(0, EndpointTable.ALL_ZONES);
        firstHost.assignTo(0);
        secondHost.assignTo(0);
        EndpointTable subsetTable = registry.addSubsetTable(fullTable, 0, 1);
        assertEquals(List.of(firstHost, secondHost), subsetTable.members());
        registry.removeFromSubsetTables(firstHost);
        assertEquals(List.of(secondHost), subsetTable.members());
        assertEquals(2, fullTable.members().size());
    }

    @Test
    void findsTablesWithEntryForHost() {
        EndpointTable fullTable = registry.addFullTable(0, EndpointTable.ALL_ZONES);
        registry.addFullTable(0, EndpointTable.ALL_ZONES);
        fullTable.setWeight(secondHost, 0.5);
        assertEquals(List.of(fullTable), registry.tablesHolding(secondHost));
        fullTable.setWeight(secondHost, 0);
        assertEquals(List.of(), registry.tablesHolding(secondHost));
    }

    @Test
    void addsShardTableOnce() {
        EndpointTable shardTable = registry.shardTable(7);
        assertSame(shardTable, registry.shardTable(7));
        assertEquals(1, registry.tables().size());
    }

    @Test
    void tableAcceptsHostsOfFirstOperationInItsMask() {
        firstHost.update(0, 0, 1);
        secondHost.update(1, 0, 1);
        assertFalse(registry.addFullTable(2, EndpointTable.ALL_ZONES).accepts(secondHost));
        assertTrue(registry.addFullTable(2, EndpointTable.ALL_ZONES).accepts(firstHost));
        assertTrue(registry.addFullTable(0, EndpointTable.ALL_ZONES).accepts(secondHost));
    }
}
