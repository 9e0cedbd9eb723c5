package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Failing hosts are ejected and tried again, slow ones get less; never so that too few are left. */
class OutlierDetectorTest {
    private static final Set<Integer> NONE = Set.of();

    /**
     * One host is too weak for its weight: its answers are late while all others are quick. At full weight it jams and
     * takes its part of the traffic with it.
     */
    @Test
    void halvesWeightOfSlowHostAndKeepsItHalved() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().requestRate(0, 0, 1000, 50);
        for (int second = 0; second < 3; second++) {
            fleet.planner().hostStatistics(2, 0, 10, 1, 900, 1000);
            fleet.passSecond(2, 0, 10, 200, 0, NONE);
            fleet.planner().hostStatistics(3, 0, 10, 0, 200, 1000);
            fleet.planner().hostStatistics(4, 0, 10, 0, 200, 1000);
        }
        assertEquals(0.5, fleet.weight(0, 2));
        fleet.pass(8000);
        assertEquals(0.5, fleet.weight(0, 2));
        assertEquals(NONE, fleet.ejected());
    }

    /** A host is so slow that it never has as many attempts as a verdict needs. How late they are must make up for it. */
    @Test
    void halvesFarTooSlowHostTwiceByFewAttempts() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(12, 2);
        fleet.planner().requestRate(0, 0, 1000, 50);
        for (int second = 0; second < 25; second++) { // two attempts a second: never eight before they decay
            fleet.planner().hostStatistics(2, 0, 2, 0, 2500, 1000);
            for (int host = 3; host < 12; host++) {
                fleet.planner().hostStatistics(host, 0, 2, 0, 200, 1000);
            }
            fleet.pass(1000);
        }
        assertEquals(0.25, fleet.weight(0, 2));
        assertEquals(1, fleet.weight(0, 3));
    }

    /**
     * One kind of machine is far weaker than the other at equal weights. In a large fleet each host has few attempts,
     * too few to judge it by; the kind has enough.
     */
    @Test
    void halvesSlowKindThoughEachHostHasFewAttempts() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(40, 2);
        fleet.planner().beginHostList(false);
        for (int host = 20; host < 40; host++) {
            fleet.planner().hostReady(host, host % 2, 1, 1, Double.NEGATIVE_INFINITY);
        }
        fleet.planner().endHostList();
        fleet.planner().requestRate(0, 0, 1000, 50);
        for (int host = 0; host < 40; host++) {
            fleet.planner().hostStatistics(host, 0, 4, 0, host < 20 ? 200 : 900, 1000);
        }
        fleet.pass(2000);
        assertEquals(0.5, fleet.weight(0, 30));
        assertEquals(1, fleet.weight(0, 10));
    }

    /** Nine in ten attempts at one host fail while the list still calls it ready. */
    @Test
    void ejectsFailingHostAndRetriesItWithSmallWeight() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.passSecond(6, 0, 10, 100, 0, NONE).passSecond(6, 0, 10, 100, 9, Set.of(3));
        assertEquals(Set.of(3), fleet.ejected());
        for (int second = 0; second < 3; second++) {
            fleet.passSecond(3, 0, 10, 100, 0, NONE);
        }
        assertTrue(fleet.weight(0, 3) > 0 && fleet.weight(0, 3) < 0.2);
    }

    /**
     * Another host fails every half second. Were each ejected at once, the limit on messages would be used up when a
     * host drains.
     */
    @Test
    void leavesRoomForDrainUnderMessageLimitWhileHostsFail() {
        FakeProxies fleet = new FakeProxies(settings(10)).start(30, 1);
        int before = fleet.acknowledgementRequests();
        for (int host = 0; host < 12; host++) { // another one fails every half second
            for (int all = 0; all < 30; all++) {
                fleet.planner().hostStatistics(all, 0, 10, all <= host ? 10 : 0, 100, 1000);
            }
            fleet.pass(500);
        }
        assertTrue(fleet.acknowledgementRequests() - before <= 8);
        fleet.drainHost(29);
        fleet.reconcile();
        assertTrue(fleet.ejected().contains(29));
        assertTrue(fleet.acknowledgementRequests() - before <= 10);
    }

    /** Four of six hosts fail at once. All ejected, the other two would carry everything and fail as well. */
    @Test
    void keepsHalfOfTableThoughMostHostsFail() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.passSecond(6, 0, 10, 100, 0, NONE).passSecond(6, 0, 20, 100, 20, Set.of(0, 1, 2, 3));
        assertTrue(fleet.ejected().size() <= 3);
    }

    /** One host is ejected, then all others drain. A sick host is better than none. */
    @Test
    void restoresUnhealthyHostWhenItIsTheLast() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.passSecond(6, 0, 10, 100, 0, NONE).passSecond(6, 0, 10, 100, 9, Set.of(3));
        assertEquals(Set.of(3), fleet.ejected());
        for (int host : new int[] {0, 1, 2, 4, 5}) {
            fleet.drainHost(host);
        }
        fleet.reconcile();
        assertFalse(fleet.ejected().contains(3));
    }
}
