package linenring.planner;

import static linenring.planner.FakeProxies.ALL;
import static linenring.planner.FakeProxies.operation;
import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Scheduling of sub-updates: shared tables, merging of changes, splitting into pieces, and delays. */
class UpdateSchedulerTest {
    @Test
    void bindsAllProxiesToOneFullTable() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 5);
        assertEquals(1, Set.copyOf(fleet.tableByProxy().values()).size());
        assertEquals(6, fleet.entries(0).size());
    }

    @Test
    void mergesChangesWhileSubUpdateIsUnacknowledged() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.startHost(6);
        fleet.reconcile();
        int requestsBefore = fleet.acknowledgementRequests();
        fleet.startHost(7);
        fleet.reconcile();
        fleet.startHost(8);
        fleet.reconcile();
        assertEquals(
                requestsBefore,
                fleet.acknowledgementRequests()); // both changes wait for one round-trip time after the previous one
        fleet.advance(300);
        assertEquals(requestsBefore + 1, fleet.acknowledgementRequests());
        assertTrue(fleet.weight(0, 6) > 0 && fleet.weight(0, 7) > 0 && fleet.weight(0, 8) > 0);
    }

    @Test
    void confinesTableToZoneOfItsOperation() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(3, 1))).start(6, 3);
        assertEquals(2, fleet.tables().size());
        assertEquals(Set.of(0, 2, 4), fleet.entries(0).keySet());
    }

    @Test
    void bindsProxiesWithHighestRequestRateFirst() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 0);
        for (int proxy = 0; proxy < 200; proxy++) {
            fleet.planner().proxyJoined(proxy, 0, proxy);
        }
        fleet.reconcile();
        assertTrue(
                fleet.tableByProxy().containsKey(199) && !fleet.tableByProxy().containsKey(0));
    }

    /**
     * A proxy freezes and stops acknowledging. A sub-update waits until all proxies have room in their windows, so
     * one frozen proxy could withhold new hosts from all other proxies.
     */
    @Test
    void sendsSubUpdateDespiteFrozenProxy() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 3);
        fleet.unresponsiveProxies().add(2);
        fleet.startHost(6);
        fleet.advance(12_000); // the slow start of the host alone takes more than five messages, the size of a window
        assertEquals(1, fleet.weight(0, 6));
    }

    /**
     * A stream closes while messages to it are unacknowledged. These acknowledgements can never arrive, and it is
     * unknown which messages the proxy has applied: so the proxy starts again with an empty window and a complete
     * table.
     */
    @Test
    void resetsWindowOfClosedStreamAndRebindsProxy() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().proxyDisconnected(1);
        fleet.tableByProxy().remove(1);
        fleet.reconcile();
        fleet.drainHost(0);
        fleet.advance(500);
        fleet.join(1);
        fleet.reconcile();
        assertEquals(fleet.tableByProxy().get(0), fleet.tableByProxy().get(1));
        assertEquals(0, fleet.weight(1, 0));
    }

    /**
     * Hosts start one after the other. If each change were sent at once, the limit on messages to a proxy would be
     * used up when a host drains, and requests to that host would be lost.
     */
    @Test
    void spacesMessagesSoThatLimitLeavesRoomForDrain() {
        FakeProxies fleet = new FakeProxies(settings(10)).start(12, 2);
        fleet.startHost(0);
        fleet.startHost(1);
        fleet.advance(2000);
        fleet.startHost(2);
        fleet.advance(3000);
        assertTrue(fleet.acknowledgementRequests() <= 7);
        fleet.drainHost(5);
        fleet.reconcile();
        assertTrue(fleet.ejected().contains(5));
    }

    /**
     * Thirty hosts start at once. The queue cannot hold their entries for all proxies, so a sub-update that is not
     * split would never be sent.
     */
    @Test
    void splitsSubUpdateThatExceedsQueue() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(4, 40);
        for (int host = 4; host < 34; host++) {
            fleet.startHost(host); // thirty entries to each of forty proxies: 1400 of 1500 entries
        }
        fleet.reconcile();
        fleet.advance(20_000);
        assertTrue(java.util.stream.IntStream.range(4, 34).allMatch(host -> fleet.weight(0, host) > 0));
    }

    @Test
    void supportsHundredZonesAndKinds() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().beginHostList(false);
        fleet.planner().hostReady(6, 100, 90, 1, Double.NEGATIVE_INFINITY);
        fleet.planner().endHostList();
        fleet.planner().proxyJoined(2, 99, 1);
        fleet.joined().add(2);
        fleet.planner().hostStatistics(6, 100, 5, 0, 100, 1000);
        fleet.reconcile().advance(20_000);
        assertTrue(fleet.weight(2, 6) > 0);
    }
}
