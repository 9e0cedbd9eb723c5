package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * The estimate of queued entries accounts for all messages in the channel, so that the queue stays within its limit.
 */
class ChannelAccountingTest {
    @Test
    void countsOverheadOfEachMessage() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 160); // a drain costs 160 x (1 + 5) entries
        fleet.drainHost(0);
        fleet.reconcile();
        fleet.drainHost(1);
        fleet.reconcile(); // 960 of 1500 entries are queued: the second drain must wait for acknowledgements
        assertEquals(Set.of(0), fleet.ejected());
        fleet.advance(200);
        assertEquals(Set.of(0, 1), fleet.ejected());
    }

    /**
     * Almost all streams close and reopen at once, while messages to them are still in the channel. A ledger that
     * drops these messages with their streams would report free capacity that the channel does not have.
     */
    @Test
    void countsMessagesToClosedStreamsUntilTheyLeaveQueue() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 160);
        fleet.drainHost(0);
        fleet.reconcile(); // the drain takes 960 of the 1500 entries that the queue may hold
        for (int proxy = 1; proxy < 160; proxy++) {
            fleet.planner().proxyDisconnected(proxy);
            fleet.join(proxy); // the proxies reconnect at once; the channel queue is as long as before
        }
        fleet.drainHost(1);
        fleet.reconcile();
        assertEquals(Set.of(0), fleet.ejected());
        fleet.planner()
                .messageAcknowledged(
                        0,
                        fleet.acknowledgementRequests(),
                        200); // this message may have been sent first: the others may still be queued
        fleet.reconcile();
        assertEquals(Set.of(0), fleet.ejected());
        fleet.advance(10_000); // even at a fifth of the stated rate the queue is empty by now
        assertEquals(Set.of(0, 1), fleet.ejected());
    }

    /**
     * The acknowledgements of many messages are lost. A ledger that counted these messages for ever would block
     * drains.
     */
    @Test
    void dropsEarlierMessagesAfterLaterAcknowledgement() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 120);
        for (int proxy = 1; proxy < 120; proxy++) {
            fleet.unresponsiveProxies().add(proxy); // the acknowledgements of these proxies are lost
        }
        fleet.drainHost(0);
        fleet.reconcile().advance(200); // only proxy 0 has acknowledged: 714 entries may still be queued
        fleet.join(120); // the bind is a later message, sent after the unacknowledged ones
        fleet.advance(400);
        for (int host : new int[] {1, 2}) { // 726 entries for each drain; the queue limit is 1500
            fleet.drainHost(host);
            fleet.reconcile();
        }
        assertEquals(Set.of(0, 1), fleet.ejected()); // the channel needs 0.7 s to send the first 714 entries
        fleet.advance(1000);
        assertEquals(Set.of(0, 1, 2), fleet.ejected());
    }

    /**
     * The channel is slow, and some streams close: the channel drops their messages, and a later message overtakes
     * older ones. The acknowledgement of the later message must not count as proof that the older ones have left the
     * queue; otherwise the queue exceeds its limit.
     */
    @Test
    void keepsOlderMessagesWhenLaterOneOvertakesThem() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 100);
        for (int proxy = 0; proxy < 100; proxy++) {
            fleet.unresponsiveProxies()
                    .add(proxy); // the channel is slow: these proxies have not received the message yet
        }
        fleet.drainHost(0);
        fleet.reconcile(); // the drain takes 600 of the 1500 entries that the queue may hold
        for (int proxy = 80; proxy < 100; proxy++) {
            fleet.planner().proxyDisconnected(proxy); // the channel drops the messages to closed streams
            fleet.joined().remove(proxy);
        }
        fleet.join(100);
        fleet.advance(300); // proxy 100 is bound and acknowledges before the older messages are acknowledged
        assertTrue(fleet.tableByProxy().containsKey(100));
        for (int host : new int[] {1, 2}) { // 486 entries for each drain
            fleet.drainHost(host);
            fleet.reconcile();
        }
        assertEquals(Set.of(0, 1), fleet.ejected());
    }

    @Test
    void countsExtraEntriesOfMessage() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 110);
        fleet.setExtraEntriesOfMessage(4);
        fleet.drainHost(0);
        fleet.reconcile(); // the drain takes 110 x (1 + 5 + 4) of the 1500 entries that the queue may hold
        fleet.drainHost(1);
        fleet.reconcile();
        assertEquals(Set.of(0), fleet.ejected());
    }

    @Test
    void countsExtraEntriesOfBind() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 0);
        fleet.setExtraEntriesOfBind(400);
        fleet.unresponsiveProxies().addAll(Set.of(0, 1, 2, 3, 4, 5));
        for (int proxy = 0; proxy < 6; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile();
        assertEquals(3, fleet.tableByProxy().size()); // three binds take 1,236 of 1500 entries; a fourth does not fit
    }
}
