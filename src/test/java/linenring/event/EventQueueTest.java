package linenring.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import org.junit.jupiter.api.Test;

class EventQueueTest {
    private final EventQueue exchange = new EventQueue();
    private final RecordingEventHandler taker = new RecordingEventHandler();
    private final List<Object> taken = taker.taken();

    @Test
    void whatIsLeftIsTakenOnceAndInOrder() throws InterruptedException {
        HostList list = new HostList(1, true, List.of());
        exchange.enqueueMessage(null, new InboundMessage.Subscribe(1, 0, 1, true));
        exchange.enqueueHostList(list);
        exchange.enqueueStreamClosed(null);
        assertTrue(exchange.await(0));
        assertEquals(0, exchange.drainTo(taker));
        assertEquals(List.of(new InboundMessage.Subscribe(1, 0, 1, true), list, "ended"), taken);
        assertFalse(exchange.await(0));
    }

    @Test
    void aFloodOfSumsIsCutAndCountedAndNothingElseIsLost() {
        for (int i = 0; i < 30_000; i++) {
            exchange.enqueueMessage(null, new InboundMessage.RequestRateReport(1, 0, i, 500));
        }
        exchange.enqueueMessage(null, new InboundMessage.Acknowledgement(1, 7, 100));
        exchange.enqueueStreamClosed(null);
        assertEquals(10_000, exchange.drainTo(taker));
        assertEquals(20_002, taken.size());
        assertEquals(0, exchange.drainTo(taker));
    }

    @Test
    void inAFloodOfSumsTheNewestAreKeptInTheirPlaceAmongTheRest() {
        exchange.enqueueMessage(null, new InboundMessage.Subscribe(1, 0, 1, true));
        for (int i = 0; i < 30_000; i++) {
            exchange.enqueueMessage(null, new InboundMessage.RequestRateReport(1, 0, i, 500));
            if (i == 29_000) {
                exchange.enqueueMessage(null, new InboundMessage.Acknowledgement(1, 7, 100));
            }
        }
        exchange.drainTo(taker);
        assertEquals(new InboundMessage.Subscribe(1, 0, 1, true), taken.get(0));
        assertEquals(
                new InboundMessage.RequestRateReport(1, 0, 10_000, 500),
                taken.get(1)); // those before it are too old to go by
        assertEquals(new InboundMessage.RequestRateReport(1, 0, 29_999, 500), taken.get(taken.size() - 1));
        assertEquals(
                new InboundMessage.Acknowledgement(1, 7, 100),
                taken.get(taken.indexOf(new InboundMessage.RequestRateReport(1, 0, 29_000, 500)) + 1));
    }

    /** The watch goes on from this list's version: who is not told of it now never is. */
    @Test
    void aListReachesTheStewardThoughOneWhoFollowsItFails() {
        HostList list = new HostList(7, true, List.of());
        exchange.addHostListListener(l -> {
            throw new IllegalStateException("a follower's fault");
        });
        assertThrows(IllegalStateException.class, () -> exchange.enqueueHostList(list));
        exchange.drainTo(taker);
        assertEquals(List.of(list), taken);
    }
}
