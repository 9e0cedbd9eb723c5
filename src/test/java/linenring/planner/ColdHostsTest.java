package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Hosts that have just started get what they can bear, and stay out of retry storms. */
class ColdHostsTest {
    private static final Set<Integer> NONE = Set.of();

    /** Most attempts have failed for three seconds; then a host starts. */
    private static FakeProxies startHostInRetryStorm(double requestsPerSecondOfProxy) {
        FakeProxies fleet = new FakeProxies(settings(0))
                .withRequestsPerSecond(requestsPerSecondOfProxy)
                .start(6, 2);
        for (int second = 0; second < 3; second++) {
            fleet.passSecond(6, 0, 30, 800, 20, Set.of(0, 1, 2, 3, 4, 5));
        }
        fleet.startHost(6);
        return fleet.reconcile().pass(500);
    }

    /** A host drains and starts again. It can do a fifth of what it could; with its old weight it would jam at once. */
    @Test
    void givesReturningHostWeightOfColdOne() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.drainHost(0);
        fleet.reconcile();
        fleet.pass(3000);
        fleet.startHost(0);
        fleet.reconcile();
        fleet.pass(1000);
        assertFalse(fleet.ejected().contains(0));
        assertTrue(fleet.weight(0, 0) > 0 && fleet.weight(0, 0) < 0.4);
        fleet.pass(12_000);
        assertEquals(1, fleet.weight(0, 0));
    }

    /**
     * A host restarts between two lists and is cold while tables have it at its full weight. It cannot bear that
     * until the next sub-update may go.
     */
    @Test
    void cutsWeightOfRestartedHostAtOnce() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.startHost(6);
        fleet.reconcile();
        fleet.startHost(3); // the table's last sub-update went a moment ago: an ordinary entry would wait
        fleet.reconcile();
        assertTrue(fleet.weight(0, 3) <= 0.2);
    }

    /** Most of the fleet restarts at once. The cold hosts must not share out what the warm ones did. */
    @Test
    void givesEachOfManyColdHostsWhatOneCanDo() {
        FakeProxies one = new FakeProxies(settings(0)).start(6, 2);
        one.startHost(0);
        one.reconcile().pass(300);
        FakeProxies many = new FakeProxies(settings(0)).start(6, 2);
        for (int host = 0; host < 4; host++) {
            many.startHost(host);
        }
        many.reconcile().pass(300);
        assertTrue(one.weight(0, 0) > 0 && one.weight(0, 0) <= 0.2);
        assertEquals(one.weight(0, 0), many.weight(0, 0), 0.03);
    }

    /**
     * Most attempts fail and proxies avoid the hosts that failed them. The one cold host that has not failed yet
     * would be sent everything, whatever its weight.
     */
    @Test
    void keepsColdHostOutUntilRetryStormEnds() {
        FakeProxies fleet = startHostInRetryStorm(10);
        assertEquals(0, fleet.weight(0, 6));
        for (int second = 0; second < 9; second++) {
            fleet.passSecond(6, 0, 10, 100, 0, NONE);
        }
        assertTrue(fleet.weight(0, 6) > 0);
    }

    /**
     * Most attempts fail, but proxies are asked so seldom that none avoids a host. Cold hosts that were kept out left
     * 48 of 120 to carry all.
     */
    @Test
    void admitsColdHostInRetryStormWhereProxiesAvoidNobody() {
        FakeProxies fleet = startHostInRetryStorm(1);
        assertTrue(fleet.weight(0, 6) > 0 && fleet.weight(0, 6) < 0.2); // at most its guaranteed capacity
    }

    /**
     * The first reports have too few attempts of each host to say what is usual. Taken as zero, this made every later
     * answer look slow, and new hosts waited outside for a storm that was none.
     */
    @Test
    void seesNoStormAfterFirstReportsTooThinToJudgeBy() {
        FakeProxies fleet =
                new FakeProxies(settings(0)).withRequestsPerSecond(10).start(12, 2);
        fleet.passSecond(12, 0, 2, 100, 0, NONE); // 24 in all, but none has three
        fleet.passSecond(12, 0, 30, 500, 0, NONE);
        fleet.startHost(12);
        fleet.reconcile();
        fleet.pass(500);
        assertTrue(fleet.weight(0, 12) > 0);
    }
}
