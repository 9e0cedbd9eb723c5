package linenring.planner;

import static linenring.planner.FakeProxies.ALL;
import static linenring.planner.FakeProxies.operation;
import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Proxies that are cut off from other zones keep to their own. */
class PartitionDetectorTest {
    private static final Set<Integer> NONE = Set.of();

    /**
     * The network path between two zones is cut. Each proxy meets a host too seldom to avoid it, so attempts at the far hosts
     * would go on failing for the whole cut; and the far hosts are sound, so none may be ejected.
     */
    @Test
    void keepsProxiesToTheirZoneWhileItIsCutOff() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        int full = fleet.bound().get(1);
        fleet.planner().requestRate(0, 0, 1000, 2);
        for (int second = 0; second < 2; second++) {
            for (int host = 0; host < 6; host++) {
                fleet.planner()
                        .hostStatistics(
                                host,
                                1,
                                10,
                                host % 2 == 0 ? 10 : 0,
                                100,
                                1000); // zone 1 finds the hosts of zone 0 dead
            }
            fleet.passSecond(6, 0, 10, 100, 0, NONE);
        }
        assertEquals(NONE, fleet.ejected());
        assertEquals(full, fleet.bound().get(0));
        assertEquals(Set.of(1, 3, 5), fleet.entries(1).keySet());
        fleet.pass(12_000);
        assertEquals(full, fleet.bound().get(1));
        assertEquals(Set.of(full), fleet.tables().keySet());
    }

    /** As before, but with two full tables: each needs one of the zone. */
    @Test
    void detectsCutWhereOperationsHaveTablesOfTheirOwn() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(1, 1))).start(6, 2);
        fleet.planner().requestRate(0, 0, 1000, 2);
        for (int second = 0; second < 2; second++) {
            for (int host = 0; host < 6; host++) {
                fleet.planner().hostStatistics(host, 1, 10, host % 2 == 0 ? 10 : 0, 100, 1000);
            }
            fleet.passSecond(6, 0, 10, 100, 0, NONE);
        }
        fleet.pass(2000);
        assertTrue(fleet.tables().values().stream()
                .anyMatch(table -> table.keySet().equals(Set.of(1, 3, 5)))); // zone 1'second own
    }
}
