package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that cold hosts get no more weight than their guaranteed capacity, and are kept out of retry storms. */
class ColdHostsTest {
    private static final Set<Integer> NONE = Set.of();

    /** Returns a fleet in which most attempts have failed for three seconds and a host has then started. */
    private static FakeProxies startHostInRetryStorm(double requestsPerSecondOfProxy) {
        FakeProxies fleet = new FakeProxies(settings(0))
                .withRequestsPerSecond(requestsPerSecondOfProxy)
                .start(6, 2);
        for (int second = 0; second < 3; second++) {
            fleet.reportAndAdvanceOneSecond(6, 0, 30, 800, 20, Set.of(0, 1, 2, 3, 4, 5));
        }
        fleet.startHost(6);
        return fleet.reconcile().advance(500);
    }

    /**
     * Guards against the overload of a host that drains and restarts: it has a fifth of its former capacity, and at
     * its old weight its queue would fill at once.
     */
    @Test
    void givesRestartedHostWeightOfColdHost() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.drainHost(0);
        fleet.reconcile();
        fleet.advance(3000);
        fleet.startHost(0);
        fleet.reconcile();
        fleet.advance(1000);
        assertFalse(fleet.ejected().contains(0));
        assertTrue(fleet.weight(0, 0) > 0 && fleet.weight(0, 0) < 0.4);
        fleet.advance(12_000);
        assertEquals(1, fleet.weight(0, 0));
    }

    /**
     * Guards against the overload of a host that restarts between two host lists: it is cold while tables still
     * have its full weight, which it cannot handle until the next sub-update is due.
     */
    @Test
    void cutsWeightOfRestartedHostAtOnce() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.startHost(6);
        fleet.reconcile();
        // the table's last sub-update was sent just now, so that an ordinary entry would have to wait
        fleet.startHost(3);
        fleet.reconcile();
        assertTrue(fleet.weight(0, 3) <= 0.2);
    }

    /**
     * Guards against the restart of most of the fleet: the cold hosts must not take over the share of the warm
     * ones.
     */
    @Test
    void limitsEachOfManyColdHostsToItsGuaranteedCapacity() {
        FakeProxies fleetWithOneColdHost = new FakeProxies(settings(0)).start(6, 2);
        fleetWithOneColdHost.startHost(0);
        fleetWithOneColdHost.reconcile().advance(300);
        FakeProxies fleetWithManyColdHosts = new FakeProxies(settings(0)).start(6, 2);
        for (int host = 0; host < 4; host++) {
            fleetWithManyColdHosts.startHost(host);
        }
        fleetWithManyColdHosts.reconcile().advance(300);
        assertTrue(fleetWithOneColdHost.weight(0, 0) > 0 && fleetWithOneColdHost.weight(0, 0) <= 0.2);
        assertEquals(fleetWithOneColdHost.weight(0, 0), fleetWithManyColdHosts.weight(0, 0), 0.03);
    }

    /**
     * Guards against a retry storm that overloads a cold host. Proxies avoid the hosts at which their attempts
     * failed, so the only host without failures would get all requests, regardless of its weight.
     */
    @Test
    void keepsColdHostOutUntilRetryStormEnds() {
        FakeProxies fleet = startHostInRetryStorm(10);
        assertEquals(0, fleet.weight(0, 6));
        for (int second = 0; second < 9; second++) {
            fleet.reportAndAdvanceOneSecond(6, 0, 10, 100, 0, NONE);
        }
        assertTrue(fleet.weight(0, 6) > 0);
    }

    /**
     * Guards against excluding cold hosts from a large fleet. At a low request rate no proxy has enough attempts to
     * avoid a host, so the exclusion protects no host; it has left 48 of 120 hosts with the whole load.
     */
    @Test
    void admitsColdHostInRetryStormWhereProxiesAvoidNoHost() {
        FakeProxies fleet = startHostInRetryStorm(1);
        assertTrue(fleet.weight(0, 6) > 0 && fleet.weight(0, 6) < 0.2); // at most its guaranteed capacity
    }

    /**
     * Guards against a false retry storm after the first load reports, which have too few attempts per host for a
     * baseline. A baseline of zero made every later answer look slow, and new hosts were kept out although there
     * was no storm.
     */
    @Test
    void detectsNoStormAfterFirstReportsWithFewAttempts() {
        FakeProxies fleet =
                new FakeProxies(settings(0)).withRequestsPerSecond(10).start(12, 2);
        fleet.reportAndAdvanceOneSecond(12, 0, 2, 100, 0, NONE); // 24 attempts in total, but no host has three
        fleet.reportAndAdvanceOneSecond(12, 0, 30, 500, 0, NONE);
        fleet.startHost(12);
        fleet.reconcile();
        fleet.advance(500);
        assertTrue(fleet.weight(0, 12) > 0);
    }
}
