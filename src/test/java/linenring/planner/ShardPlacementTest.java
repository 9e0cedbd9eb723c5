package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Each shard has one owner at a time. */
class ShardPlacementTest {
    private static final Set<Integer> NONE = Set.of();

    /**
     * A shard's owner drains. Writes may be in its hands until the lease and what lingers after it have passed; a next
     * owner before that would be a second writer.
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
        fleet.pass(3000);
        assertEquals(
                NONE, fleet.tables().getOrDefault(2, new java.util.TreeMap<>()).keySet());
        fleet.pass(6000);
        assertEquals(1, fleet.tables().get(2).size());
    }
}
