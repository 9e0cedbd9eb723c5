package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that each shard has one owner at a time. */
class ShardPlacementTest {
    private static final Set<Integer> NONE = Set.of();

    /**
     * Guards against two writers of a shard whose owner drains. Writes to the last owner may be in progress until
     * the lease and the time for lingering writes have passed, so the next owner must not start before.
     */
    @Test
    void waitsForLastWritesBeforeNextOwner() {
        FakeProxies fleet = new FakeProxies(settings(0, new PlannerSettings.Shards(4, true, 2000, 3000)));
        fleet.start(3, 0);
        fleet.planner().setShardInCharge(2, true);
        fleet.planner().setShardOwner(2, 1, 1);
        fleet.reconcile();
        fleet.drainHost(1);
        fleet.reconcile();
        fleet.advance(3000);
        assertEquals(
                NONE, fleet.tables().getOrDefault(2, new java.util.TreeMap<>()).keySet());
        fleet.advance(6000);
        assertEquals(1, fleet.tables().get(2).size());
    }
}
