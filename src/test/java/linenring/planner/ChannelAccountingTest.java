package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** What waits in the channel is known, so that the queue is never over its limit. */
class ChannelAccountingTest {
    @Test
    void countsHeadOfEachMessage() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 160); // a message to all takes 160 x (1 + 5) entries
        fleet.drainHost(0);
        fleet.reconcile();
        fleet.drainHost(1);
        fleet.reconcile(); // 960 of 1500 entries wait: a second one has no room before acknowledgements come
        assertEquals(Set.of(0), fleet.ejected());
        fleet.pass(200);
        assertEquals(Set.of(0, 1), fleet.ejected());
    }

    /**
     * Almost all streams break and come back at once. What was on its way to them is in the channel still; written off
     * with the streams, it would make room that there is not.
     */
    @Test
    void countsMessagesToLostStreamsUntilTheyHaveLeft() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 160);
        fleet.drainHost(0);
        fleet.reconcile(); // 960 of 1500 entries
        for (int proxy = 1; proxy < 160; proxy++) {
            fleet.planner().proxyDisconnected(proxy);
            fleet.join(proxy); // they come back at once, and the channel is no shorter
        }
        fleet.drainHost(1);
        fleet.reconcile();
        assertEquals(Set.of(0), fleet.ejected());
        fleet.planner()
                .messageAcknowledged(
                        0,
                        fleet.acknowledgementRequests(),
                        200); // its message may have gone first of all: the others may be there yet
        fleet.reconcile();
        assertEquals(Set.of(0), fleet.ejected());
        fleet.pass(10_000); // at a fifth of the rate it is through by now
        assertEquals(Set.of(0, 1), fleet.ejected());
    }

    /** Acknowledgements of many messages are lost. Counted for ever, they would keep drains out of the queue. */
    @Test
    void writesOffEarlierMessagesOnceLaterOneIsAcknowledged() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 120);
        for (int proxy = 1; proxy < 120; proxy++) {
            fleet.silent().add(proxy); // their acknowledgements are lost
        }
        fleet.drainHost(0);
        fleet.reconcile().pass(200); // proxy 0 alone has acknowledged: 714 entries may be in the channel still
        fleet.join(120); // bound by a message of its own, which follows them
        fleet.pass(400);
        for (int host : new int[] {1, 2}) { // 726 entries each, and 1500 may wait
            fleet.drainHost(host);
            fleet.reconcile();
        }
        assertEquals(Set.of(0, 1), fleet.ejected()); // the first 714 need 0.7 s of the channel in any case
        fleet.pass(1000);
        assertEquals(Set.of(0, 1, 2), fleet.ejected());
    }

    /**
     * The channel is slow, and streams break: a later message goes in the room that theirs leave, before older ones.
     * Its acknowledgement was once taken for proof that those had left, and the queue went over its limit.
     */
    @Test
    void keepsOlderMessagesThoughLaterOneOvertookThem() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 100);
        for (int proxy = 0; proxy < 100; proxy++) {
            fleet.silent().add(proxy); // the channel is slow: they have not got it yet
        }
        fleet.drainHost(0);
        fleet.reconcile(); // 600 of 1500 entries
        for (int proxy = 80; proxy < 100; proxy++) {
            fleet.planner().proxyDisconnected(proxy); // what was on its way to them is lost and makes way
            fleet.joined().remove(proxy);
        }
        fleet.join(100);
        fleet.pass(300); // the newcomer is bound, and its acknowledgement is there before the others'
        assertTrue(fleet.bound().containsKey(100));
        for (int host : new int[] {1, 2}) { // 486 entries each
            fleet.drainHost(host);
            fleet.reconcile();
        }
        assertEquals(Set.of(0, 1), fleet.ejected());
    }

    @Test
    void countsEntriesThatTheWayAddsToMessage() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 110);
        fleet.setExtraEntriesOfMessage(4);
        fleet.drainHost(0);
        fleet.reconcile(); // 110 x (1 + 5 + 4) of 1500 entries
        fleet.drainHost(1);
        fleet.reconcile();
        assertEquals(Set.of(0), fleet.ejected());
    }

    @Test
    void countsEntriesThatBindBringsBesideTable() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 0);
        fleet.setExtraEntriesOfBind(400);
        fleet.silent().addAll(Set.of(0, 1, 2, 3, 4, 5));
        for (int proxy = 0; proxy < 6; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile();
        assertEquals(3, fleet.bound().size()); // 1,236 of 1500 entries: a fourth would be over
    }
}
