package linenring.planner;

import static linenring.planner.FakeProxies.ALL;
import static linenring.planner.FakeProxies.operation;
import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** What is sent when: one table for all, changes that merge, sub-updates that go whole, in pieces, or not at all yet. */
class UpdateSchedulerTest {
    @Test
    void bindsAllProxiesToOneTableOfAllHosts() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 5);
        assertEquals(1, Set.copyOf(fleet.bound().values()).size());
        assertEquals(6, fleet.entries(0).size());
    }

    @Test
    void mergesChangesWhileSubUpdateIsUnderWay() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.startHost(6);
        fleet.reconcile();
        int before = fleet.acknowledgementRequests();
        fleet.startHost(7);
        fleet.reconcile();
        fleet.startHost(8);
        fleet.reconcile();
        assertEquals(
                before, fleet.acknowledgementRequests()); // the first change went less than a round trip ago: both wait
        fleet.pass(300);
        assertEquals(before + 1, fleet.acknowledgementRequests());
        assertTrue(fleet.weight(0, 6) > 0 && fleet.weight(0, 7) > 0 && fleet.weight(0, 8) > 0);
    }

    @Test
    void confinesTableOfOperationToItsZone() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(3, 1))).start(6, 3);
        assertEquals(2, fleet.tables().size());
        assertEquals(Set.of(0, 2, 4), fleet.entries(0).keySet());
    }

    @Test
    void bindsMostAskedProxiesFirst() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 0);
        for (int proxy = 0; proxy < 200; proxy++) {
            fleet.planner().proxyJoined(proxy, 0, proxy);
        }
        fleet.reconcile();
        assertTrue(fleet.bound().containsKey(199) && !fleet.bound().containsKey(0));
    }

    /**
     * A proxy freezes and acknowledges nothing. The batch waits until all proxies have room in their windows, so
     * one frozen proxy would keep new hosts from all others.
     */
    @Test
    void sendsSubUpdateThoughOneProxyIsFrozen() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 3);
        fleet.silent().add(2);
        fleet.startHost(6);
        fleet.pass(12_000); // its ramp alone fills a window of five
        assertEquals(1, fleet.weight(0, 6));
    }

    /**
     * A stream breaks with messages on their way. Acknowledgements of these cannot come, and what the proxy applied
     * is not known: it starts with a free window and a whole table.
     */
    @Test
    void freesWindowOfLostStreamAndBindsProxyAgain() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().proxyDisconnected(1);
        fleet.bound().remove(1);
        fleet.reconcile();
        fleet.drainHost(0);
        fleet.pass(500);
        fleet.join(1);
        fleet.reconcile();
        assertEquals(fleet.bound().get(0), fleet.bound().get(1));
        assertEquals(0, fleet.weight(1, 0));
    }

    /**
     * Hosts start one after the other. Were each change sent at once, the limit on messages to a proxy would be
     * used up when a host drains, and its requests would be lost.
     */
    @Test
    void spacesMessagesUnderLimitWithRoomForDrain() {
        FakeProxies fleet = new FakeProxies(settings(10)).start(12, 2);
        fleet.startHost(0);
        fleet.startHost(1);
        fleet.pass(2000);
        fleet.startHost(2);
        fleet.pass(3000);
        assertTrue(fleet.acknowledgementRequests() <= 7);
        fleet.drainHost(5);
        fleet.reconcile();
        assertTrue(fleet.ejected().contains(5));
    }

    /**
     * Thirty hosts start at once. Their entries for all proxies never find room in the queue together; whole, the
     * sub-update would never be sent.
     */
    @Test
    void sendsSubUpdateInPiecesWhereNoQueueHoldsIt() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(4, 40);
        for (int host = 4; host < 34; host++) {
            fleet.startHost(host); // thirty entries to forty proxies: 1400 of 1500
        }
        fleet.reconcile();
        fleet.pass(20_000);
        assertTrue(java.util.stream.IntStream.range(4, 34).allMatch(host -> fleet.weight(0, host) > 0));
    }

    @Test
    void servesHundredZonesAndKinds() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.planner().beginHostList(false);
        fleet.planner().hostReady(6, 100, 90, 1, Double.NEGATIVE_INFINITY);
        fleet.planner().endHostList();
        fleet.planner().proxyJoined(2, 99, 1);
        fleet.joined().add(2);
        fleet.planner().hostStatistics(6, 100, 5, 0, 100, 1000);
        fleet.reconcile().pass(20_000);
        assertTrue(fleet.weight(2, 6) > 0);
    }
}
