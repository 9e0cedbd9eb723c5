package linenring.stream;

import static linenring.stream.Messages.PING;
import static linenring.stream.Messages.PONG;
import static linenring.stream.Messages.RATE;
import static linenring.stream.Messages.SOURCE;
import static linenring.stream.Messages.SUBSCRIBE;
import static linenring.stream.Messages.acknowledgement;
import static linenring.stream.Messages.update;
import static linenring.stream.Messages.updateLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

class StreamServerTest {
    private static final InboundMessage.RequestRateReport RATE_REPORT =
            new InboundMessage.RequestRateReport(3, 0, 4, 500);

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true, StandardCharsets.UTF_8));
    /** The clock starts just below the maximum of a long, so that later times overflow. */
    private final AtomicLong clockNanos = new AtomicLong(Long.MAX_VALUE - 1000);

    private final StreamServer server = server(1024);
    private final List<Object> receivedEvents = new ArrayList<>();
    private ProxyStream lastStream;

    private StreamServer server(int maxSockets) {
        return new StreamServer(
                Runnable::run,
                new ScheduledExecutorScheduler(),
                maxSockets,
                Messages.codec(),
                eventQueue,
                log,
                clockNanos::get);
    }

    private InMemoryPeer peer() {
        return new InMemoryPeer(server);
    }

    /** Returns the events received since the previous call. */
    private List<Object> receivedEvents() {
        receivedEvents.clear();
        eventQueue.drainTo(new EventQueue.EventHandler() {
            @Override
            public void onMessage(ProxyStream from, InboundMessage message) {
                lastStream = from;
                receivedEvents.add(message);
            }

            @Override
            public void onStreamClosed(ProxyStream stream) {
                receivedEvents.add("ended");
            }

            @Override
            public void onHostList(HostList list) {
                receivedEvents.add(list);
            }
        });
        return receivedEvents;
    }

    private String logText() {
        return logged.toString(StandardCharsets.UTF_8);
    }

    private long logLinesWith(String part) {
        return logText().lines().filter(line -> line.contains(part)).count();
    }

    private void advanceMs(long elapsedMs) {
        clockNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(elapsedMs));
    }

    private static void closeIfOverdue(InMemoryPeer peer, long minOpenedAtNanos, long minLineStartNanos) {
        peer.connection().closeIfOverdue(minOpenedAtNanos, minLineStartNanos);
    }

    @Test
    void readsTheSameMessagesFromFragmentsAndWholeLines() {
        InMemoryPeer peer = peer();
        for (int i = 0; i < SUBSCRIBE.length(); i++) {
            peer.send(SUBSCRIBE.substring(i, i + 1));
        }
        for (int nonce : List.of(7, 8)) {
            peer.connection().write(update(nonce));
        }
        String acknowledgements =
                "{\"@type\":\"ACK\",\"id\":3,\"seq\":7,\"ms\":1}\n{\"@type\":\"ACK\",\"id\":3,\"seq\":8,\"ms\":2}\n";
        peer.send(acknowledgements);
        assertEquals(
                List.of(
                        new InboundMessage.Subscribe(3, 0, 2.5, true),
                        new InboundMessage.Acknowledgement(3, 7, 1),
                        new InboundMessage.Acknowledgement(3, 8, 2)),
                receivedEvents());
    }

    @Test
    void answersPingBeforeAndAfterThePeerIdentifiesItself() {
        InMemoryPeer peer = peer().send(PING + SUBSCRIBE + PING);
        assertEquals("{\"@type\":\"PONG\"}\n{\"@type\":\"PONG\"}\n", peer.takeOutputString());
        assertEquals(1, receivedEvents().size());
    }

    @Test
    void closesOnlyTheConnectionThatSendsUnreadableDataAndLogsItOnce() {
        InMemoryPeer validPeer = peer().send(SUBSCRIBE);
        for (String unreadable : List.of(
                "GET / HTTP/1.1\r\n",
                "\u0016\u0003\u0001",
                "{\"@type\":\u0000",
                " [", // rejected before the end of the line
                "{\"@type\":\"LOAD\",\"site\":\"a\",\"target\":\"s\",\"count\":1}\n",
                RATE,
                updateLine(7),
                SUBSCRIBE.replace("3", "9"),
                SUBSCRIBE + "\u0001\u0002\u0003",
                SUBSCRIBE + "xxx",
                SUBSCRIBE + "{\"@type\":\"RATE\"\n",
                SUBSCRIBE + "{]\n")) {
            logged.reset();
            InMemoryPeer peer = peer().send(unreadable);
            assertFalse(peer.isOpen(), unreadable);
            peer.send(PING);
            assertEquals("", peer.takeOutputString()); // data after the unreadable message is ignored
            assertEquals(1, logText().lines().count(), unreadable);
        }
        receivedEvents();
        validPeer.send(RATE);
        assertEquals(List.of(RATE_REPORT), receivedEvents());
    }

    @Test
    void dropsInvalidMessageOfIdentifiedPeerAndKeepsThoseAroundIt() {
        InMemoryPeer proxy = peer().send(SUBSCRIBE);
        InMemoryPeer collector = peer().send(SOURCE);
        proxy.connection().write(update(5));
        receivedEvents();
        for (String invalid : List.of(
                RATE.replace("\"over\":500", "\"ov\":1"),
                RATE.replace("lookup", "x"),
                RATE.replace("500", "\"a\""),
                RATE.replace("\"fail\":0", "\"fail\":-5"),
                RATE.replace("RATE", "RAT"),
                RATE.replace("\"id\":3", "\"id\":4"),
                SUBSCRIBE,
                acknowledgement(4, 5, 1),
                acknowledgement(3, 6, 1),
                acknowledgement(3, 5, 100_000),
                "{}\n")) {
            assertEquals(
                    List.of(RATE_REPORT, RATE_REPORT),
                    proxy.send(RATE + invalid + RATE).isOpen() ? receivedEvents() : null,
                    invalid);
        }
        collector.send(acknowledgement(3, 5, 1) + "{\"@type\":\"LOAD\",\"site\":\"b\",\"target\":7}\n" + RATE);
        assertEquals(List.of(RATE_REPORT), collector.isOpen() ? receivedEvents() : null);
        assertEquals(13, logLinesWith(" WARN invalid "));
        proxy.send(acknowledgement(3, 5, 1)); // the invalid acknowledgements had no effect on the update
        assertEquals(List.of(new InboundMessage.Acknowledgement(3, 5, 1)), receivedEvents());
    }

    @Test
    void acceptsALaterAcknowledgementInPlaceOfALostOne() {
        InMemoryPeer proxy = peer().send(SUBSCRIBE);
        List.of(5, 6, 7).forEach(nonce -> proxy.connection().write(update(nonce)));
        receivedEvents();
        proxy.send(acknowledgement(3, 6, 1)
                + acknowledgement(3, 5, 1)); // the acknowledgement of nonce 5 arrives after that of nonce 6
        assertEquals(List.of(new InboundMessage.Acknowledgement(3, 6, 1)), receivedEvents());
        proxy.send(acknowledgement(3, 7, 1));
        assertEquals(List.of(new InboundMessage.Acknowledgement(3, 7, 1)), receivedEvents());
        long future = clockNanos.get() + 1_000_000_000L;
        closeIfOverdue(proxy, future, future); // an idle proxy has no timeout
        assertTrue(proxy.isOpen() && receivedEvents().isEmpty());
    }

    @Test
    void closesUnidentifiedPeersAndProxiesWithAnUnfinishedLineAfterTheirTimeouts() {
        InMemoryPeer pingingPeer = peer().send(PING);
        InMemoryPeer incompletePeer = peer().send("{\"@type\":\"SUBSCR");
        InMemoryPeer proxy = peer().send(SUBSCRIBE + "{\"@ty");
        long past = clockNanos.get() - 1_000_000_000L;
        long future = past + 2_000_000_000L;
        List.of(pingingPeer, incompletePeer, proxy).forEach(peer -> closeIfOverdue(peer, past, past));
        assertTrue(pingingPeer.isOpen() && incompletePeer.isOpen() && proxy.isOpen());
        pingingPeer.send(PING); // PINGs do not extend the timeout
        List.of(pingingPeer, incompletePeer, proxy).forEach(peer -> closeIfOverdue(peer, future, past));
        assertTrue(!pingingPeer.isOpen() && !incompletePeer.isOpen() && proxy.isOpen());
        closeIfOverdue(proxy, future, future);
        assertFalse(proxy.isOpen());
        assertEquals(2, logLinesWith(" INFO unidentified "));
    }

    @Test
    void acceptsLinesOfOneMebibyteFromIdentifiedPeersOnly() {
        InMemoryPeer peer = peer().send(SUBSCRIBE);
        String ping = "{\"@type\":\"PING\",\"x\":\"";
        peer.send(ping + "y".repeat((1 << 20) - ping.length() - 2) + "\"}\n");
        assertEquals(PONG, peer.takeOutputString());
        peer.send("{" + "z".repeat(1 << 20));
        assertFalse(peer.isOpen());
        assertFalse(peer().send("{" + "z".repeat(20_000)).isOpen()); // unidentified peers have a lower limit
    }

    @Test
    void yieldsToOtherConnectionsWhileAPeerSendsContinuously() {
        InMemoryPeer peer = peer().send(SUBSCRIBE);
        receivedEvents();
        Queue<Runnable> tasks = peer.deferTasks();
        peer.send(RATE.repeat(18_000));
        int totalLines = 0;
        while (!tasks.isEmpty()) {
            tasks.poll().run();
            int linesInTurn = receivedEvents().size();
            assertTrue(linesInTurn < 9000, linesInTurn + " lines in one turn");
            totalLines += linesInTurn;
        }
        assertEquals(18_000, totalLines);
    }

    @Test
    void boundsMemoryOfUnfinishedLinesOverAllConnections() {
        String unfinishedLine = "{" + "x".repeat(1_000_000);
        List<InMemoryPeer> peers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            peers.add(peer().send(SUBSCRIBE + unfinishedLine));
        }
        assertEquals(16, peers.stream().filter(InMemoryPeer::isOpen).count());
        peers.forEach(peer -> peer.connection().onClose(null));
        assertTrue(peer().send(SUBSCRIBE + unfinishedLine).isOpen());
    }

    @Test
    void closesAPeerThatDoesNotReadOnceTheOutboundQueueIsFull() {
        InMemoryPeer peer = new InMemoryPeer(server, 1024).send(SUBSCRIBE);
        int writtenBytes = 0;
        while (peer.isOpen() && writtenBytes < 1_000_000) {
            peer.connection().write(update(7));
            writtenBytes += updateLine(7).length();
        }
        assertTrue(writtenBytes > 64_000 && writtenBytes < 200_000, writtenBytes + " bytes");
        assertTrue(logText().contains("proxy 3") && logText().contains("does not read its updates"));
    }

    @Test
    void writesUpdatesInOrderAsThePeerReads() {
        InMemoryPeer peer = new InMemoryPeer(server, 70).send(SUBSCRIBE);
        StringBuilder output = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            peer.connection().write(update(7));
        }
        for (int i = 0; i < 20; i++) {
            output.append(peer.takeOutputString());
        }
        assertEquals(updateLine(7).repeat(5), output.toString());
    }

    @Test
    void reportsTheEndOfAProxyStreamOnceAndOfAnUnidentifiedPeerNever() {
        InMemoryPeer peer = peer().send(SUBSCRIBE);
        receivedEvents();
        peer.addInputEOF();
        peer.connection().onClose(null);
        assertEquals(List.of("ended"), receivedEvents());
        InMemoryPeer unidentified = peer().send("{\"@type\":\"PI");
        unidentified.addInputEOF();
        unidentified.connection().onClose(null);
        assertEquals(List.of(), receivedEvents());
    }

    @Test
    void keepsProxiesWhoseAcknowledgementsAreOverdue() {
        InMemoryPeer unidentified = peer();
        InMemoryPeer proxy = peer().send(SUBSCRIBE);
        InMemoryPeer collector = peer().send(SOURCE);
        long past = clockNanos.get() - 1_000_000_000L;
        long future = past + 100_000_000_000L;
        receivedEvents();
        for (InMemoryPeer peer : List.of(proxy, collector)) { // idle peers have no timeout
            closeIfOverdue(peer, future, future);
        }
        closeIfOverdue(unidentified, past, future);
        assertTrue(unidentified.isOpen() && proxy.isOpen() && collector.isOpen());
        closeIfOverdue(unidentified, future, past);
        assertFalse(unidentified.isOpen());
        proxy.connection().write(update(7)); // the update channel may need a minute for hundreds of tables
        closeIfOverdue(proxy, past, future);
        assertTrue(proxy.isOpen());
        proxy.send("{\"@type\":\"ACK\",\"id\":3,\"seq\":7,\"ms\":1}\n");
        assertEquals(
                List.of(new InboundMessage.Acknowledgement(3, 7, 1)),
                receivedEvents()); // the proxy keeps its subscription
    }

    @Test
    void evictsOlderUnidentifiedPeersForANewConnection() throws Exception {
        StreamServer smallServer = server(35); // 32 sockets are reserved, so that 3 connections are allowed
        InMemoryPeer unidentified = new InMemoryPeer(smallServer);
        InMemoryPeer proxy = new InMemoryPeer(smallServer).send(SUBSCRIBE);
        advanceMs(150); // above the minimum age for eviction
        InMemoryPeer secondToLast = new InMemoryPeer(smallServer);
        InMemoryPeer last = new InMemoryPeer(smallServer);
        InMemoryPeer rejectedPeer = new InMemoryPeer(smallServer);
        assertFalse(unidentified.isOpen() || rejectedPeer.isOpen());
        assertTrue(proxy.isOpen() && secondToLast.isOpen() && last.isOpen());
    }

    @Test
    @SuppressWarnings("try") // the test closes the socket before the end of the try block
    void servesAProxyOverSocketsFromSubscriptionToReset() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        threads.start();
        scheduler.start();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        StreamServer opened = StreamServer.open(any, 1024, Messages.codec(), eventQueue, log, threads, scheduler);
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(20_000);
            socket.connect(opened.address());
            socket.getOutputStream().write((PING + SUBSCRIBE).getBytes(StandardCharsets.UTF_8));
            assertEquals(PONG, readLine(socket));
            assertTrue(eventQueue.await(20_000_000_000L));
            assertEquals(List.of(new InboundMessage.Subscribe(3, 0, 2.5, true)), receivedEvents());
            lastStream.write(update(7));
            assertEquals(updateLine(7), readLine(socket));
            socket.setSoLinger(true, 0); // resets the connection on close
            socket.close();
            assertTrue(eventQueue.await(20_000_000_000L));
            assertEquals(List.of("ended"), receivedEvents());
            InetSocketAddress taken = opened.address();
            ListenException refused = assertThrows(
                    ListenException.class,
                    () -> StreamServer.open(taken, 1024, Messages.codec(), eventQueue, log, threads, scheduler));
            assertEquals(ListenException.Stage.STARTED, refused.stage());
            assertEquals(taken, refused.address());
        } finally {
            opened.close();
            threads.stop();
            scheduler.stop();
        }
    }

    private static String readLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        int octet = socket.getInputStream().read();
        while (octet >= 0) {
            line.append((char) octet);
            if (octet == '\n') {
                break;
            }
            octet = socket.getInputStream().read();
        }
        return line.toString();
    }
}
