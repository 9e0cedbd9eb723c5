package linenring.stream;

import static linenring.stream.Messages.PING;
import static linenring.stream.Messages.PONG;
import static linenring.stream.Messages.SOURCE;
import static linenring.stream.Messages.SUBSCRIBE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import linenring.event.EventQueue;
import linenring.event.RecordingEventHandler;
import linenring.log.Log;
import linenring.protocol.InboundMessage;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/**
 * Tests that fragmented messages are decoded like messages that arrive in one piece, wherever the network splits them. A fault
 * would disconnect proxies on a slow network.
 */
class FragmentedMessagesTest {
    private static final String FROM_PROXY = PING + SUBSCRIBE
            + "{\"@type\":\"ACK\",\"id\":3,\"seq\":7,\"ms\":1.5}\n"
            + "{\"@type\":\"RATE\",\"id\":3,\"lane\":\"lookup\",\"count\":4,\"fail\":0,\"over\":500}\n"
            + PING;
    private static final String FROM_COLLECTOR = SOURCE.replace("\n", "\r\n")
            + "{\"@type\":\"LOAD\",\"site\":\"b\",\"target\":\"s-é\",\"count\":5,\"fail\":1,\"mean\":41.7,\"over\":1000,"
            + "\"util\":{\"inflight\":7,\"util\":0.61}}\n\n"
            + PING;

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final StreamServer server = new StreamServer(
            Runnable::run,
            new ScheduledExecutorScheduler(),
            1024,
            Messages.codec(),
            eventQueue,
            new Log(new PrintStream(logged, true, StandardCharsets.UTF_8)),
            System::nanoTime);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Sends the pieces on a new connection; returns the received events followed by the answers, without updates. */
    private List<Object> processPieces(byte[]... pieces) {
        InMemoryPeer peer = new InMemoryPeer(server);
        boolean isUpdateSent = false;
        List<Object> outcome = new ArrayList<>();
        for (byte[] piece : pieces) {
            peer.addInput(ByteBuffer.wrap(piece));
            List<Object> events = drainEvents();
            outcome.addAll(events);
            if (!isUpdateSent && events.stream().anyMatch(message -> message instanceof InboundMessage.Subscribe)) {
                isUpdateSent = true;
                peer.connection().write(Messages.update(7));
            }
        }
        assertTrue(peer.isOpen(), logged.toString(StandardCharsets.UTF_8));
        outcome.add(peer.takeOutputString().replace(Messages.updateLine(7), ""));
        peer.connection().close("test completed");
        peer.connection().onClose(null);
        drainEvents();
        return outcome;
    }

    private List<Object> drainEvents() {
        RecordingEventHandler handler = new RecordingEventHandler();
        eventQueue.drainTo(handler);
        return handler.events();
    }

    private static final List<Object> PROXY_OUTCOME = List.of(
            new InboundMessage.Subscribe(3, 0, 2.5, true),
            new InboundMessage.Acknowledgement(3, 7, 1.5),
            new InboundMessage.RequestRateReport(3, 0, 4, 500),
            PONG + PONG);
    private static final List<Object> COLLECTOR_OUTCOME =
            List.of(new InboundMessage.LoadReport("s-é", 1, 5, 1, 41.7, 1000), PONG);

    /** The subscription and the remaining messages are cut separately, since the acknowledgement must follow the update. */
    @Test
    void readsProxyMessagesCutInTwoAnywhere() {
        byte[] all = bytes(FROM_PROXY);
        byte[] subscription = Arrays.copyOf(all, FROM_PROXY.indexOf("{\"@type\":\"ACK\""));
        byte[] remaining = Arrays.copyOfRange(all, subscription.length, all.length);
        for (int cut = 1; cut < subscription.length; cut++) {
            assertEquals(
                    PROXY_OUTCOME,
                    processPieces(head(subscription, cut), tail(subscription, cut), remaining),
                    "cut at " + cut);
        }
        for (int cut = 1; cut < remaining.length; cut++) {
            assertEquals(
                    PROXY_OUTCOME,
                    processPieces(subscription, head(remaining, cut), tail(remaining, cut)),
                    "cut at " + cut);
        }
    }

    @Test
    void readsSubscriptionCutInThreeAnywhere() {
        byte[] all = bytes(SUBSCRIBE);
        for (int firstCut = 1; firstCut < all.length - 1; firstCut++) {
            for (int secondCut = firstCut + 1; secondCut < all.length; secondCut++) {
                assertEquals(
                        List.of(new InboundMessage.Subscribe(3, 0, 2.5, true), ""),
                        processPieces(
                                head(all, firstCut),
                                Arrays.copyOfRange(all, firstCut, secondCut),
                                tail(all, secondCut)),
                        "cut at " + firstCut + " and " + secondCut);
            }
        }
    }

    @Test
    void readsProxyMessagesByteByByte() {
        assertEquals(PROXY_OUTCOME, processPieces(singleBytes(bytes(FROM_PROXY))));
    }

    /** A cut may split a multi-byte character, or separate CR from LF. */
    @Test
    void readsCollectorMessagesCutAnywhereAndByteByByte() {
        byte[] all = bytes(FROM_COLLECTOR);
        for (int cut = 1; cut < all.length; cut++) {
            assertEquals(COLLECTOR_OUTCOME, processPieces(head(all, cut), tail(all, cut)), "cut at " + cut);
        }
        assertEquals(COLLECTOR_OUTCOME, processPieces(singleBytes(all)));
    }

    /** The connection ends within its first message, of which nothing may be reported. */
    @Test
    void ignoresSubscriptionThatEndsBeforeItsLastByte() {
        byte[] all = bytes(SUBSCRIBE);
        for (int cut = 0; cut < all.length; cut++) {
            InMemoryPeer peer = new InMemoryPeer(server);
            peer.addInput(ByteBuffer.wrap(head(all, cut)));
            peer.addInputEOF();
            peer.connection().onClose(null);
            assertFalse(peer.isOpen());
            assertEquals(List.of(), drainEvents(), "cut at " + cut);
        }
    }

    private static byte[] head(byte[] all, int cut) {
        return Arrays.copyOf(all, cut);
    }

    private static byte[] tail(byte[] all, int cut) {
        return Arrays.copyOfRange(all, cut, all.length);
    }

    private static byte[][] singleBytes(byte[] all) {
        byte[][] pieces = new byte[all.length][];
        for (int index = 0; index < all.length; index++) {
            pieces[index] = new byte[] {all[index]};
        }
        return pieces;
    }
}
