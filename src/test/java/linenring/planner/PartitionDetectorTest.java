package linenring.planner;

import static linenring.planner.FakeProxies.ALL;
import static linenring.planner.FakeProxies.operation;
import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that the proxies of a partitioned zone use only hosts of their own zone. */
class PartitionDetectorTest {
    private static final Set<Integer> NONE = Set.of();

    /**
     * Guards against a cut of the network path between two zones. Each proxy meets a host too seldom to eject it,
     * so attempts at hosts of the other zone would fail for the whole partition. The hosts themselves are sound, so
     * none of them may be ejected.
     */
    @Test
    void restrictsProxiesToTheirZoneDuringPartition() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        int fullTable = fleet.tableByProxy().get(1);
        fleet.planner().requestRate(0, 0, 1000, 2);
        for (int second = 0; second < 2; second++) {
            // all attempts of zone 1 at hosts of zone 0 fail
            for (int host = 0; host < 6; host++) {
                fleet.planner().hostStatistics(host, 1, 10, host % 2 == 0 ? 10 : 0, 100, 1000);
            }
            fleet.reportAndAdvanceOneSecond(6, 0, 10, 100, 0, NONE);
        }
        assertEquals(NONE, fleet.ejected());
        assertEquals(fullTable, fleet.tableByProxy().get(0));
        assertEquals(Set.of(1, 3, 5), fleet.entries(1).keySet());
        fleet.advance(12_000);
        assertEquals(fullTable, fleet.tableByProxy().get(1));
        assertEquals(Set.of(fullTable), fleet.tables().keySet());
    }

    /**
     * Guards against a partition where there are two full tables: the zone needs a table of its own for each of
     * them.
     */
    @Test
    void detectsPartitionWithSeparateTablesPerOperation() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(1, 1))).start(6, 2);
        fleet.planner().requestRate(0, 0, 1000, 2);
        for (int second = 0; second < 2; second++) {
            for (int host = 0; host < 6; host++) {
                fleet.planner().hostStatistics(host, 1, 10, host % 2 == 0 ? 10 : 0, 100, 1000);
            }
            fleet.reportAndAdvanceOneSecond(6, 0, 10, 100, 0, NONE);
        }
        fleet.advance(2000);
        assertTrue(fleet.tables().values().stream()
                .anyMatch(table -> table.keySet().equals(Set.of(1, 3, 5)))); // the table of zone 1
    }
}
