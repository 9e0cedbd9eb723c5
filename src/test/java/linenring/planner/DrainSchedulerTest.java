package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Drains reach the proxies in time, past windows and behind nothing else. */
class DrainSchedulerTest {
    /**
     * Proxies acknowledge nothing while hosts drain. A drain that waited for room in a window would come after the
     * host has stopped.
     */
    @Test
    void drainsPastFullWindows() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.silent().addAll(Set.of(0, 1));
        for (int host = 0; host < 3; host++) {
            fleet.drainHost(host);
            fleet.reconcile();
            assertTrue(fleet.ejected().contains(host));
        }
    }

    @Test
    void sendsWhatIsDueAlongWithDrain() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.startHost(6);
        fleet.reconcile();
        fleet.startHost(7); // the last message to all went a moment ago: alone it would wait
        fleet.drainHost(0);
        int before = fleet.acknowledgementRequests();
        fleet.reconcile();
        assertTrue(fleet.ejected().contains(0) && fleet.weight(0, 7) > 0);
        assertEquals(before + 1, fleet.acknowledgementRequests());
    }

    /**
     * Hosts drain one by one while the queue is nearly full. Each drain alone takes a message head at each proxy,
     * and other entries take the room between them; so the later drains come too late.
     */
    @Test
    void drainsTogetherAndFirstWhenRoomIsShort() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 120);
        fleet.drainHost(0);
        fleet.drainHost(1);
        fleet.reconcile(); // 840 of 1500 entries
        int before = fleet.acknowledgementRequests();
        fleet.drainHost(2);
        fleet.drainHost(3);
        fleet.startHost(6);
        fleet.reconcile(); // 720 entries and more: there is no room for one
        assertEquals(Set.of(0, 1), fleet.ejected());
        assertEquals(before, fleet.acknowledgementRequests());
        fleet.pass(100);
        assertEquals(Set.of(0, 1, 2, 3), fleet.ejected());
    }

    /**
     * The channel takes four seconds where the drain grace is two. Whatever else is written comes before the next
     * drain and makes it late: a failing host is not ejected, a draining one is.
     */
    @Test
    void writesOnlyDrainsBehindQuarterOfSlowChannel() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(12, 40);
        fleet.setAcknowledgementMs(4000); // the grace is 2 s
        fleet.startHost(12);
        fleet.pass(3000);
        fleet.silent().addAll(fleet.joined());
        fleet.drainHost(0);
        fleet.reconcile();
        fleet.drainHost(1);
        fleet.reconcile(); // 480 of 1500 entries
        fleet.passSecond(12, 0, 10, 100, 9, Set.of(5)).passSecond(12, 0, 10, 100, 9, Set.of(5));
        assertEquals(Set.of(0, 1), fleet.ejected());
        fleet.drainHost(2);
        fleet.reconcile();
        assertEquals(Set.of(0, 1, 2), fleet.ejected());
    }
}
