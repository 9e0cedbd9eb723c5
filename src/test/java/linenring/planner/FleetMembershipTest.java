package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks complete host lists, list changes, and the handling of doubtful entries. */
class FleetMembershipTest {
    @Test
    void ejectsHostMissingFromCompleteList() {
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
     * Guards against a wrong list change that names a host which does not exist as one that has been warm for long.
     * At full weight this host would get requests that no process answers. In contrast, a new host that is already
     * warm when a late list first names it is sound, and gets its full weight.
     */
    @Test
    void startsProbationOfHostMissingFromFirstList() {
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
