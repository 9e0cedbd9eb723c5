package linenring.stream;

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
import linenring.protocol.Codec;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/** The network delivers bytes in pieces: joinings, answers and reports mean the same wherever they are cut. */
class FragmentedMessagesTest {
    private static final String JOIN = "{\"@type\":\"SUBSCRIBE\",\"id\":3,\"site\":\"a\",\"rps\":2.5,\"new\":true}\n";
    private static final String FROM_PROXY = "{\"@type\":\"PING\"}\n" + JOIN
            + "{\"@type\":\"ACK\",\"id\":3,\"seq\":7,\"ms\":1.5}\n"
            + "{\"@type\":\"RATE\",\"id\":3,\"lane\":\"lookup\",\"count\":4,\"fail\":0,\"over\":500}\n"
            + "{\"@type\":\"PING\"}\n";
    private static final String FROM_COLLECTOR = "{\"@type\":\"SOURCE\",\"site\":\"b\"}\r\n"
            + "{\"@type\":\"LOAD\",\"site\":\"b\",\"target\":\"s-é\",\"count\":5,\"fail\":1,\"mean\":41.7,\"over\":1000,"
            + "\"util\":{\"inflight\":7,\"util\":0.61}}\n\n"
            + "{\"@type\":\"PING\"}\n";
    private static final String PONG = "{\"@type\":\"PONG\"}\n";
    private static final ConfigurationUpdate ORDER = new ConfigurationUpdate(
            List.of(new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of("s-1"), List.of(), 7)));

    private final EventQueue exchange = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final StreamServer server = new StreamServer(
            Runnable::run,
            new ScheduledExecutorScheduler(),
            1024,
            new Codec(new Names(List.of("a", "b"), List.of("m1"), List.of("lookup"), 9, 4)),
            exchange,
            new Log(new PrintStream(logged, true)));

    /** A connection in memory. */
    private static final class Peer extends ByteArrayEndPoint {
        final PeerConnection connection;

        Peer(StreamServer server) {
            super((org.eclipse.jetty.util.thread.Scheduler) null, 0);
            setGrowOutput(true);
            connection = new PeerConnection(this, Runnable::run, server, 0);
            setConnection(connection);
            connection.onOpen();
        }

        @Override
        protected void execute(Runnable task) {
            task.run();
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Sends the pieces on a new connection; tells what has arrived and what was answered, without orders. */
    private List<Object> outcome(byte[]... pieces) {
        Peer peer = new Peer(server);
        boolean ordered = false;
        List<Object> outcome = new ArrayList<>();
        for (byte[] piece : pieces) {
            peer.addInput(ByteBuffer.wrap(piece));
            List<Object> arrived = arrived();
            outcome.addAll(arrived);
            if (!ordered && arrived.stream().anyMatch(a -> a instanceof InboundMessage.Subscribe)) {
                ordered = true;
                peer.connection.write(ORDER);
            }
        }
        assertTrue(peer.isOpen(), logged.toString());
        outcome.add(
                peer.takeOutputString().replace("{\"@type\":\"CONFIG\",\"eject\":[\"s-1\"],\"nonce_out\":7}\n", ""));
        peer.connection.close("the test is over");
        peer.connection.onClose(null);
        arrived();
        return outcome;
    }

    private List<Object> arrived() {
        RecordingEventHandler taker = new RecordingEventHandler();
        exchange.drain(taker);
        return taker.taken();
    }

    private static final List<Object> PROXY_OUTCOME = List.of(
            new InboundMessage.Subscribe(3, 0, 2.5, true),
            new InboundMessage.Acknowledgement(3, 7, 1.5),
            new InboundMessage.RequestRateReport(3, 0, 4, 500),
            PONG + PONG);
    private static final List<Object> COLLECTOR_OUTCOME =
            List.of(new InboundMessage.LoadReport("s-é", 1, 5, 1, 41.7, 1000), PONG);

    /** The answer can only come behind the order, so that no cut lies before the joining's end. */
    @Test
    void aProxysMessagesMeanTheSameWhereverTheyAreCutInTwo() {
        byte[] all = bytes(FROM_PROXY);
        byte[] greeting = Arrays.copyOf(all, FROM_PROXY.indexOf("{\"@type\":\"ACK\""));
        byte[] rest = Arrays.copyOfRange(all, greeting.length, all.length);
        for (int cut = 1; cut < greeting.length; cut++) {
            assertEquals(PROXY_OUTCOME, outcome(head(greeting, cut), tail(greeting, cut), rest), "cut at " + cut);
        }
        for (int cut = 1; cut < rest.length; cut++) {
            assertEquals(PROXY_OUTCOME, outcome(greeting, head(rest, cut), tail(rest, cut)), "cut at " + cut);
        }
    }

    @Test
    void aJoiningMeansTheSameWhereverItIsCutInThree() {
        byte[] all = bytes(JOIN);
        for (int first = 1; first < all.length - 1; first++) {
            for (int second = first + 1; second < all.length; second++) {
                assertEquals(
                        List.of(new InboundMessage.Subscribe(3, 0, 2.5, true), ""),
                        outcome(head(all, first), Arrays.copyOfRange(all, first, second), tail(all, second)),
                        "cut at " + first + " and " + second);
            }
        }
    }

    @Test
    void aProxysMessagesMeanTheSameByteByByte() {
        assertEquals(PROXY_OUTCOME, outcome(single(bytes(FROM_PROXY))));
    }

    /** A cut may fall into a character of several bytes, and between CR and LF. */
    @Test
    void aCollectorsMessagesMeanTheSameWhereverTheyAreCutAndByteByByte() {
        byte[] all = bytes(FROM_COLLECTOR);
        for (int cut = 1; cut < all.length; cut++) {
            assertEquals(COLLECTOR_OUTCOME, outcome(head(all, cut), tail(all, cut)), "cut at " + cut);
        }
        assertEquals(COLLECTOR_OUTCOME, outcome(single(all)));
    }

    /** The connection ends within its first message: nothing of it is told, and nobody's place is kept. */
    @Test
    void aJoiningThatEndsBeforeItsLastByteIsNone() {
        byte[] all = bytes(JOIN);
        for (int cut = 0; cut < all.length; cut++) {
            Peer peer = new Peer(server);
            peer.addInput(ByteBuffer.wrap(head(all, cut)));
            peer.addInputEOF();
            peer.connection.onClose(null);
            assertFalse(peer.isOpen());
            assertEquals(List.of(), arrived(), "cut at " + cut);
        }
    }

    private static byte[] head(byte[] all, int cut) {
        return Arrays.copyOf(all, cut);
    }

    private static byte[] tail(byte[] all, int cut) {
        return Arrays.copyOfRange(all, cut, all.length);
    }

    private static byte[][] single(byte[] all) {
        byte[][] pieces = new byte[all.length][];
        for (int at = 0; at < all.length; at++) {
            pieces[at] = new byte[] {all[at]};
        }
        return pieces;
    }
}
