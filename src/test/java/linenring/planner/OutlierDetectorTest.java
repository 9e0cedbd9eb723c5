package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Checks that failing hosts are ejected and later put on probation, that slow hosts get less weight, and that
 * enough hosts always stay admitted.
 */
class OutlierDetectorTest {
    private static final Set<Integer> NONE = Set.of();

    /**
     * Guards against a host that is too weak for its weight: its answers are late while all other hosts are fast.
     * At full weight its queue would fill, and its share of the traffic would fail.
     */
    @Test
    void halvesWeightOfSlowHostAndKeepsItHalved() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().requestRate(0, 0, 1000, 50);
        for (int second = 0; second < 3; second++) {
            fleet.planner().hostStatistics(2, 0, 10, 1, 900, 1000);
            fleet.reportAndAdvanceOneSecond(2, 0, 10, 200, 0, NONE);
            fleet.planner().hostStatistics(3, 0, 10, 0, 200, 1000);
            fleet.planner().hostStatistics(4, 0, 10, 0, 200, 1000);
        }
        assertEquals(0.5, fleet.weight(0, 2));
        fleet.advance(8000);
        assertEquals(0.5, fleet.weight(0, 2));
        assertEquals(NONE, fleet.ejected());
    }

    /**
     * Guards against a host so slow that it never has the number of attempts that outlier detection needs. Its high
     * latency has to compensate for the few attempts.
     */
    @Test
    void halvesWeightOfVerySlowHostTwiceByFewAttempts() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(12, 2);
        fleet.planner().requestRate(0, 0, 1000, 50);
        // at two attempts a second, the decaying total of a host never reaches eight
        for (int second = 0; second < 25; second++) {
            fleet.planner().hostStatistics(2, 0, 2, 0, 2500, 1000);
            for (int host = 3; host < 12; host++) {
                fleet.planner().hostStatistics(host, 0, 2, 0, 200, 1000);
            }
            fleet.advance(1000);
        }
        assertEquals(0.25, fleet.weight(0, 2));
        assertEquals(1, fleet.weight(0, 3));
    }

    /**
     * Guards against a kind that is far weaker than another at equal weights. In a large fleet each host has too
     * few attempts to be evaluated, but the kind as a whole has enough.
     */
    @Test
    void halvesWeightOfSlowKindThoughEachHostHasFewAttempts() {
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
        fleet.advance(2000);
        assertEquals(0.5, fleet.weight(0, 30));
        assertEquals(1, fleet.weight(0, 10));
    }

    /** Guards against a host at which nine of ten attempts fail while the host list still names it as ready. */
    @Test
    void ejectsFailingHostAndStartsProbationWithSmallWeight() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.reportAndAdvanceOneSecond(6, 0, 10, 100, 0, NONE).reportAndAdvanceOneSecond(6, 0, 10, 100, 9, Set.of(3));
        assertEquals(Set.of(3), fleet.ejected());
        for (int second = 0; second < 3; second++) {
            fleet.reportAndAdvanceOneSecond(3, 0, 10, 100, 0, NONE);
        }
        assertTrue(fleet.weight(0, 3) > 0 && fleet.weight(0, 3) < 0.2);
    }

    /**
     * Guards against ejections that use up the limit on messages. A further host fails every half second; with an
     * immediate ejection of each, no message would be left when a host drains.
     */
    @Test
    void leavesRoomForDrainUnderMessageLimitWhileHostsFail() {
        FakeProxies fleet = new FakeProxies(settings(10)).start(30, 1);
        int requestsBefore = fleet.acknowledgementRequests();
        for (int host = 0; host < 12; host++) { // one more host fails every half second
            for (int reportedHost = 0; reportedHost < 30; reportedHost++) {
                fleet.planner().hostStatistics(reportedHost, 0, 10, reportedHost <= host ? 10 : 0, 100, 1000);
            }
            fleet.advance(500);
        }
        assertTrue(fleet.acknowledgementRequests() - requestsBefore <= 8);
        fleet.drainHost(29);
        fleet.reconcile();
        assertTrue(fleet.ejected().contains(29));
        assertTrue(fleet.acknowledgementRequests() - requestsBefore <= 10);
    }

    /**
     * Guards against too many ejections: if four of six hosts fail at once and all four were ejected, the other two
     * would carry the whole load and fail too.
     */
    @Test
    void keepsHalfOfTableThoughMostHostsFail() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.reportAndAdvanceOneSecond(6, 0, 10, 100, 0, NONE)
                .reportAndAdvanceOneSecond(6, 0, 20, 100, 20, Set.of(0, 1, 2, 3));
        assertTrue(fleet.ejected().size() <= 3);
    }

    /**
     * Guards against a table without hosts: one host is ejected, then all others drain. An unhealthy host is better
     * than none.
     */
    @Test
    void restoresUnhealthyHostWhenNoOtherIsLeft() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.reportAndAdvanceOneSecond(6, 0, 10, 100, 0, NONE).reportAndAdvanceOneSecond(6, 0, 10, 100, 9, Set.of(3));
        assertEquals(Set.of(3), fleet.ejected());
        for (int host : new int[] {0, 1, 2, 4, 5}) {
            fleet.drainHost(host);
        }
        fleet.reconcile();
        assertFalse(fleet.ejected().contains(3));
    }
}
