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
    private final List<Object> received = handler.events();

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
        assertEquals(List.of(SUBSCRIBE, list, RecordingEventHandler.STREAM_CLOSED), received);
        assertFalse(queue.await(0));
    }

    /** The control loop is blocked: reports beyond the limit are dropped and counted, while other events are kept. */
    @Test
    void dropsAndCountsOnlyReportsWhenFlooded() {
        for (int i = 0; i < 30_000; i++) {
            queue.enqueueMessage(null, report(i));
        }
        queue.enqueueMessage(null, ACKNOWLEDGEMENT);
        queue.enqueueStreamClosed(null);
        assertEquals(10_000, queue.drainTo(handler));
        assertEquals(20_002, received.size());
        assertEquals(0, queue.drainTo(handler));
    }

    /** A flood of reports around other events must leave the newest reports, in order among the other events. */
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
        assertEquals(SUBSCRIBE, received.get(0));
        assertEquals(report(10_000), received.get(1)); // earlier reports were dropped
        assertEquals(report(29_999), received.get(received.size() - 1));
        assertEquals(ACKNOWLEDGEMENT, received.get(received.indexOf(report(29_000)) + 1));
    }

    /** Discovery continues from the version of this list, so that a control loop without the list would never get its contents. */
    @Test
    void deliversAHostListThoughAListenerFails() {
        HostList list = new HostList(7, true, List.of());
        queue.addHostListListener(ignored -> {
            throw new IllegalStateException("listener failed");
        });
        assertThrows(IllegalStateException.class, () -> queue.enqueueHostList(list));
        queue.drainTo(handler);
        assertEquals(List.of(list), received);
    }
}
