package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Drains reach the proxies in time: they bypass the flow-control windows and take priority over other writes. */
class DrainSchedulerTest {
    /**
     * Proxies stop acknowledging while hosts drain. A drain that waited for space in a proxy's window would arrive
     * after the host has stopped.
     */
    @Test
    void drainsDespiteFullWindows() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.unresponsiveProxies().addAll(Set.of(0, 1));
        for (int host = 0; host < 3; host++) {
            fleet.drainHost(host);
            fleet.reconcile();
            assertTrue(fleet.ejected().contains(host));
        }
    }

    @Test
    void sendsPendingChangesWithDrain() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.startHost(6);
        fleet.reconcile();
        fleet.startHost(7); // without the drain this change would wait for the gap after the last message
        fleet.drainHost(0);
        int requestsBefore = fleet.acknowledgementRequests();
        fleet.reconcile();
        assertTrue(fleet.ejected().contains(0) && fleet.weight(0, 7) > 0);
        assertEquals(requestsBefore + 1, fleet.acknowledgementRequests());
    }

    /**
     * Hosts drain one after the other while the queue is nearly full. Drains that are sent one by one each pay the
     * message overhead at each proxy, and ordinary entries use the queue between them, so that later drains arrive
     * too late.
     */
    @Test
    void batchesDrainsBeforeOtherWritesWhenQueueIsNearlyFull() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 120);
        fleet.drainHost(0);
        fleet.drainHost(1);
        fleet.reconcile(); // both drains take 840 of the 1500 entries that the queue may hold
        int requestsBefore = fleet.acknowledgementRequests();
        fleet.drainHost(2);
        fleet.drainHost(3);
        fleet.startHost(6);
        fleet.reconcile(); // each drain needs 720 entries or more: neither fits into the queue
        assertEquals(Set.of(0, 1), fleet.ejected());
        assertEquals(requestsBefore, fleet.acknowledgementRequests());
        fleet.advance(100);
        assertEquals(Set.of(0, 1, 2, 3), fleet.ejected());
    }

    /**
     * The channel takes four seconds to deliver a message, while the drain grace is two seconds. Any other write
     * would delay the next drain further: so a failing host is not ejected, but a draining host is.
     */
    @Test
    void writesOnlyDrainsWhenSlowChannelIsQuarterFull() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(12, 40);
        fleet.setAcknowledgementMs(4000); // the drain grace is 2 s
        fleet.startHost(12);
        fleet.advance(3000);
        fleet.unresponsiveProxies().addAll(fleet.joined());
        fleet.drainHost(0);
        fleet.reconcile();
        fleet.drainHost(1);
        fleet.reconcile(); // both drains take 480 of the 1500 entries that the queue may hold
        fleet.reportAndAdvanceOneSecond(12, 0, 10, 100, 9, Set.of(5))
                .reportAndAdvanceOneSecond(12, 0, 10, 100, 9, Set.of(5));
        assertEquals(Set.of(0, 1), fleet.ejected());
        fleet.drainHost(2);
        fleet.reconcile();
        assertEquals(Set.of(0, 1, 2), fleet.ejected());
    }
}
