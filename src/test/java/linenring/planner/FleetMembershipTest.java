package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Host lists, complete ones and changes, and what is doubtful in them. */
class FleetMembershipTest {
    @Test
    void ejectsHostMissingFromWholeList() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().beginHostList(true);
        for (int host = 0; host < 5; host++) {
            fleet.planner().hostReady(host, host % 2, 0, 1, Double.NEGATIVE_INFINITY);
        }
        fleet.planner().endHostList();
        fleet.reconcile();
        assertEquals(Set.of(5), fleet.ejected());
    }

    /**
     * A wrong change of the list names a host that does not exist, as one that is long warm. Full weight would send
     * it requests that nobody answers. A host that is new and warm when the list at last names it is sound, and gets all.
     */
    @Test
    void triesHostThatFirstListShouldHaveNamed() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().beginHostList(false);
        fleet.planner()
                .hostReady(6, 0, 0, 1, fleet.nowMs() - 10_001); // warm after 10 s, and started after the first list
        fleet.planner().hostReady(7, 1, 0, 1, Double.NEGATIVE_INFINITY);
        fleet.planner().endHostList();
        fleet.reconcile();
        assertEquals(1, fleet.weight(0, 6));
        assertEquals(0.15, fleet.weight(0, 7));
    }
}
