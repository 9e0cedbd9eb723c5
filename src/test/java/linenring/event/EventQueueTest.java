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
    private static final InboundMessage SUBSCRIBE = new InboundMessage.Subscribe(1, 0, 1, true);
    private static final InboundMessage ACKNOWLEDGEMENT = new InboundMessage.Acknowledgement(1, 7, 100);

    private final EventQueue queue = new EventQueue();
    private final RecordingEventHandler handler = new RecordingEventHandler();
    private final List<Object> taken = handler.taken();

    private static InboundMessage report(int requests) {
        return new InboundMessage.RequestRateReport(1, 0, requests, 500);
    }

    @Test
    void deliversEachEventOnceAndInOrder() throws InterruptedException {
        HostList list = new HostList(1, true, List.of());
        queue.enqueueMessage(null, SUBSCRIBE);
        queue.enqueueHostList(list);
        queue.enqueueStreamClosed(null);
        assertTrue(queue.await(0));
        assertEquals(0, queue.drainTo(handler));
        assertEquals(List.of(SUBSCRIBE, list, RecordingEventHandler.ENDED), taken);
        assertFalse(queue.await(0));
    }

    /** The loop is held up while reports go on: those beyond the limit are dropped and counted, and no other event is. */
    @Test
    void dropsAndCountsOnlyReportsWhenFlooded() {
        for (int i = 0; i < 30_000; i++) {
            queue.enqueueMessage(null, report(i));
        }
        queue.enqueueMessage(null, ACKNOWLEDGEMENT);
        queue.enqueueStreamClosed(null);
        assertEquals(10_000, queue.drainTo(handler));
        assertEquals(20_002, taken.size());
        assertEquals(0, queue.drainTo(handler));
    }

    /** The same flood, around other events: what is kept of it must be the latest, at its place among them. */
    @Test
    void keepsTheNewestReportsInOrderWhenFlooded() {
        queue.enqueueMessage(null, SUBSCRIBE);
        for (int i = 0; i < 30_000; i++) {
            queue.enqueueMessage(null, report(i));
            if (i == 29_000) {
                queue.enqueueMessage(null, ACKNOWLEDGEMENT);
            }
        }
        queue.drainTo(handler);
        assertEquals(SUBSCRIBE, taken.get(0));
        assertEquals(report(10_000), taken.get(1)); // those before it are too old to go by
        assertEquals(report(29_999), taken.get(taken.size() - 1));
        assertEquals(ACKNOWLEDGEMENT, taken.get(taken.indexOf(report(29_000)) + 1));
    }

    /** Discovery goes on from this list's version: a loop that does not get it now never learns what it says. */
    @Test
    void deliversAHostListThoughAListenerFails() {
        HostList list = new HostList(7, true, List.of());
        queue.addHostListListener(ignored -> {
            throw new IllegalStateException("a listener's fault");
        });
        assertThrows(IllegalStateException.class, () -> queue.enqueueHostList(list));
        queue.drainTo(handler);
        assertEquals(List.of(list), taken);
    }
}
