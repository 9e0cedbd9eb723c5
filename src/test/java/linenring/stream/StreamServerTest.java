package linenring.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

class StreamServerTest {
    private static final String JOIN = "{\"@type\":\"SUBSCRIBE\",\"id\":3,\"site\":\"a\",\"rps\":2.5,\"new\":true}\n";
    private static final String USAGE =
            "{\"@type\":\"RATE\",\"id\":3,\"lane\":\"lookup\",\"count\":4,\"fail\":0,\"over\":500}\n";
    private static final ConfigurationUpdate ORDER = order(7);
    private static final String ORDERED = "{\"@type\":\"CONFIG\",\"eject\":[\"s-1\"],\"nonce_out\":7}\n";

    private final EventQueue exchange = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final StreamServer server = server(1024);
    private final List<Object> came = new ArrayList<>();
    private ProxyStream lastStream;

    private static ConfigurationUpdate order(int mark) {
        return new ConfigurationUpdate(List.of(
                new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of("s-1"), List.of(), mark)));
    }

    private static String answer(int proxy, int mark, double ms) {
        return "{\"@type\":\"ACK\",\"id\":" + proxy + ",\"seq\":" + mark + ",\"ms\":" + ms + "}\n";
    }

    private StreamServer server(int sockets) {
        return new StreamServer(
                Runnable::run,
                new ScheduledExecutorScheduler(),
                sockets,
                new Codec(new Names(List.of("a", "b"), List.of("m1"), List.of("lookup"), 9, 4)),
                exchange,
                new Log(new PrintStream(logged, true)));
    }

    /** A peer in memory: what it is sent at once may be limited, as by one that does not read. */
    private static final class Peer extends ByteArrayEndPoint {
        final PeerConnection connection;
        ArrayDeque<Runnable> later; // what is ready, where a story has it wait

        Peer(StreamServer server, int unreadMost) {
            super(null, 0, new byte[0], unreadMost);
            setGrowOutput(unreadMost == 0);
            connection = new PeerConnection(this, Runnable::run, server, 0);
            setConnection(connection);
            connection.onOpen();
        }

        @Override
        protected void execute(Runnable task) {
            if (later == null) {
                task.run();
            } else {
                later.add(task);
            }
        }

        Peer says(String text) {
            addInput(text);
            return this;
        }
    }

    private Peer peer() {
        return new Peer(server, 0);
    }

    private List<Object> came() {
        came.clear();
        exchange.drain(new EventQueue.EventHandler() {
            @Override
            public void arrived(ProxyStream from, InboundMessage what) {
                lastStream = from;
                came.add(what);
            }

            @Override
            public void ended(ProxyStream which) {
                came.add("ended");
            }

            @Override
            public void listed(HostList list) {
                came.add(list);
            }
        });
        return came;
    }

    @Test
    void linesThatComeInPiecesOrTogetherAreReadAlike() {
        Peer peer = peer();
        for (char c : JOIN.toCharArray()) {
            peer.says("" + c);
        }
        for (int mark : List.of(7, 8)) {
            peer.connection.write(order(mark));
        }
        String answers =
                "{\"@type\":\"ACK\",\"id\":3,\"seq\":7,\"ms\":1}\n{\"@type\":\"ACK\",\"id\":3,\"seq\":8,\"ms\":2}\n";
        peer.says(answers);
        assertEquals(
                List.of(
                        new InboundMessage.Subscribe(3, 0, 2.5, true),
                        new InboundMessage.Acknowledgement(3, 7, 1),
                        new InboundMessage.Acknowledgement(3, 8, 2)),
                came());
    }

    @Test
    void aPingIsAnsweredBeforeAndAfterItIsKnownWhoIsThere() {
        Peer peer = peer().says("{\"@type\":\"PING\"}\n" + JOIN + "{\"@type\":\"PING\"}\n");
        assertEquals("{\"@type\":\"PONG\"}\n{\"@type\":\"PONG\"}\n", peer.takeOutputString());
        assertEquals(1, came().size());
    }

    @Test
    void whatCannotBeReadClosesItsOwnConnectionAtOnceWithOneLineInTheLog() {
        Peer good = peer().says(JOIN);
        for (String bad : List.of(
                "GET / HTTP/1.1\r\n",
                "\u0016\u0003\u0001",
                "{\"@type\":\u0000",
                " [", // no end of a line is waited for
                "{\"@type\":\"LOAD\",\"site\":\"a\",\"target\":\"s\",\"count\":1}\n",
                USAGE,
                ORDERED,
                JOIN.replace("3", "9"),
                JOIN + "\u0001\u0002\u0003",
                JOIN + "xxx",
                JOIN + "{\"@type\":\"RATE\"\n",
                JOIN + "{]\n")) {
            logged.reset();
            Peer peer = peer().says(bad);
            assertFalse(peer.isOpen(), bad);
            peer.says("{\"@type\":\"PING\"}\n");
            assertEquals("", peer.takeOutputString()); // nothing after it is looked at
            assertEquals(1, logged.toString().lines().count(), bad);
        }
        came();
        good.says(USAGE);
        assertEquals(List.of(new InboundMessage.RequestRateReport(3, 0, 4, 500)), came());
    }

    @Test
    void aSpoiltMessageFromWhoHasJoinedIsDroppedAndThoseAroundItCount() {
        Peer proxy = peer().says(JOIN), collector = peer().says("{\"@type\":\"SOURCE\",\"site\":\"b\"}\n");
        proxy.connection.write(order(5));
        came();
        for (String spoilt : List.of(
                USAGE.replace("\"over\":500", "\"ov\":1"),
                USAGE.replace("lookup", "x"),
                USAGE.replace("500", "\"a\""),
                USAGE.replace("\"fail\":0", "\"fail\":-5"),
                USAGE.replace("RATE", "RAT"),
                USAGE.replace("\"id\":3", "\"id\":4"),
                JOIN,
                answer(4, 5, 1),
                answer(3, 6, 1),
                answer(3, 5, 100_000),
                "{}\n")) {
            assertEquals(
                    List.of(
                            new InboundMessage.RequestRateReport(3, 0, 4, 500),
                            new InboundMessage.RequestRateReport(3, 0, 4, 500)),
                    proxy.says(USAGE + spoilt + USAGE).isOpen() ? came() : null,
                    spoilt);
        }
        collector.says(answer(3, 5, 1) + "{\"@type\":\"LOAD\",\"site\":\"b\",\"target\":7}\n" + USAGE);
        assertEquals(List.of(new InboundMessage.RequestRateReport(3, 0, 4, 500)), collector.isOpen() ? came() : null);
        assertEquals(
                13,
                logged.toString()
                        .lines()
                        .filter(l -> l.contains(" WARN spoilt "))
                        .count());
        proxy.says(answer(3, 5, 1)); // none of these was taken for it
        assertEquals(List.of(new InboundMessage.Acknowledgement(3, 5, 1)), came());
    }

    @Test
    void anAnswerThatIsLostIsMadeUpForByTheNextOne() {
        Peer proxy = peer().says(JOIN);
        List.of(5, 6, 7).forEach(mark -> proxy.connection.write(order(mark)));
        came();
        proxy.says(answer(3, 6, 1) + answer(3, 5, 1)); // that of 5 is stale by now
        assertEquals(List.of(new InboundMessage.Acknowledgement(3, 6, 1)), came());
        proxy.says(answer(3, 7, 1));
        assertEquals(List.of(new InboundMessage.Acknowledgement(3, 7, 1)), came());
        long future = System.nanoTime() + 1_000_000_000L;
        proxy.connection.judge(future, future); // it has nothing to say
        assertTrue(proxy.isOpen() && came().isEmpty());
    }

    @Test
    void whoOnlyAsksForASignOfLifeOrSaysHalfAMessageIsLetGoInTimeAndAHalfFromAProxyLater() {
        Peer asks = peer().says("{\"@type\":\"PING\"}\n"),
                half = peer().says("{\"@type\":\"SUBSCR"),
                proxy = peer().says(JOIN + "{\"@ty");
        long past = System.nanoTime() - 1_000_000_000L, future = past + 2_000_000_000L;
        List.of(asks, half, proxy).forEach(p -> p.connection.judge(past, past));
        assertTrue(asks.isOpen() && half.isOpen() && proxy.isOpen());
        asks.says("{\"@type\":\"PING\"}\n"); // asking on helps nothing
        List.of(asks, half, proxy).forEach(p -> p.connection.judge(future, past));
        assertTrue(!asks.isOpen() && !half.isOpen() && proxy.isOpen());
        proxy.connection.judge(future, future);
        assertFalse(proxy.isOpen());
        assertEquals(
                2,
                logged.toString()
                        .lines()
                        .filter(l -> l.contains(" INFO stranger "))
                        .count());
    }

    @Test
    void aLineMayHaveOneMebibyteOnceItIsKnownWhoSendsIt() {
        Peer peer = peer().says(JOIN);
        String ping = "{\"@type\":\"PING\",\"x\":\"";
        peer.says(ping + "y".repeat((1 << 20) - ping.length() - 2) + "\"}\n");
        assertEquals("{\"@type\":\"PONG\"}\n", peer.takeOutputString());
        peer.says("{" + "z".repeat(1 << 20));
        assertFalse(peer.isOpen());
        assertFalse(peer().says("{" + "z".repeat(20_000)).isOpen()); // strangers get no such room
    }

    @Test
    void aPeerThatSendsWithoutEndLeavesTheOthersTheirTurn() {
        Peer peer = peer().says(JOIN);
        came();
        peer.later = new ArrayDeque<>();
        peer.says(USAGE.repeat(18_000));
        int all = 0;
        while (!peer.later.isEmpty()) {
            peer.later.poll().run();
            int read = came().size();
            assertTrue(read < 9000, read + " lines in one turn");
            all += read;
        }
        assertEquals(18_000, all);
    }

    @Test
    void longLinesThatManyBeginAreBoundedTogetherAndGivenBack() {
        String half = "{" + "x".repeat(1_000_000);
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            peers.add(peer().says(JOIN + half));
        }
        assertEquals(16, peers.stream().filter(Peer::isOpen).count());
        peers.forEach(p -> p.connection.onClose(null));
        assertTrue(peer().says(JOIN + half).isOpen());
    }

    @Test
    void aPeerThatReadsNothingIsLetGoOnceAFewOrdersHundredsWait() {
        Peer peer = new Peer(server, 1024).says(JOIN);
        int written = 0;
        while (peer.isOpen() && written < 1_000_000) {
            peer.connection.write(ORDER);
            written += ORDERED.length();
        }
        assertTrue(written > 64_000 && written < 200_000, written + " bytes");
        assertTrue(logged.toString().contains("proxy 3") && logged.toString().contains("reads nothing"));
    }

    @Test
    void ordersGoOutInOrderAsThePeerReads() {
        Peer peer = new Peer(server, 70).says(JOIN);
        StringBuilder read = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            peer.connection.write(ORDER);
        }
        for (int i = 0; i < 20; i++) {
            read.append(peer.takeOutputString());
        }
        assertEquals(ORDERED.repeat(5), read.toString());
    }

    @Test
    void theEndOfAProxysStreamIsToldOnceAndThatOfAStrangerNever() {
        Peer peer = peer().says(JOIN);
        came();
        peer.addInputEOF();
        peer.connection.onClose(null);
        assertEquals(List.of("ended"), came());
        Peer stranger = peer().says("{\"@type\":\"PI");
        stranger.addInputEOF();
        stranger.connection.onClose(null);
        assertEquals(List.of(), came());
    }

    @Test
    void noProxyCountsAsLeftWhileOurOwnChannelIsSlow() {
        Peer stranger = peer(),
                proxy = peer().says(JOIN),
                collector = peer().says("{\"@type\":\"SOURCE\",\"site\":\"b\"}\n");
        long past = System.nanoTime() - 1_000_000_000L, future = past + 100_000_000_000L;
        came();
        for (Peer peer : List.of(proxy, collector)) { // they may have nothing to say
            peer.connection.judge(future, future);
        }
        stranger.connection.judge(past, future);
        assertTrue(stranger.isOpen() && proxy.isOpen() && collector.isOpen());
        stranger.connection.judge(future, past);
        assertFalse(stranger.isOpen());
        proxy.connection.write(ORDER); // on a channel that takes a minute over hundreds of tables
        proxy.connection.judge(past, future);
        assertTrue(proxy.isOpen());
        proxy.says("{\"@type\":\"ACK\",\"id\":3,\"seq\":7,\"ms\":1}\n");
        assertEquals(List.of(new InboundMessage.Acknowledgement(3, 7, 1)), came()); // and it does not join anew
    }

    @Test
    void strangersMakeRoomForTheNextConnectionButNotWhoHasJustCome() throws Exception {
        StreamServer small = server(35); // three connections
        Peer stranger = new Peer(small, 0), proxy = new Peer(small, 0).says(JOIN);
        long then = System.nanoTime();
        while (System.nanoTime() - then < 150_000_000L) {
            Thread.onSpinWait(); // till the stranger has had time to say who it is
        }
        Peer next = new Peer(small, 0), last = new Peer(small, 0), tooMany = new Peer(small, 0);
        assertFalse(stranger.isOpen() || tooMany.isOpen());
        assertTrue(proxy.isOpen() && next.isOpen() && last.isOpen());
    }

    @Test
    @SuppressWarnings("try") // the socket is closed early, and on purpose
    void onSocketsAProxyJoinsGetsItsOrderAndLeaves() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        threads.start();
        scheduler.start();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        StreamServer.Opened opened =
                StreamServer.open(any, 1024, server.codec, exchange, server.log, threads, scheduler);
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(20_000);
            socket.connect(opened.server().address());
            socket.getOutputStream().write(("{\"@type\":\"PING\"}\n" + JOIN).getBytes(StandardCharsets.UTF_8));
            assertEquals("{\"@type\":\"PONG\"}\n", line(socket));
            assertTrue(exchange.await(20_000_000_000L));
            assertEquals(List.of(new InboundMessage.Subscribe(3, 0, 2.5, true)), came());
            lastStream.write(ORDER);
            assertEquals(ORDERED, line(socket));
            socket.setSoLinger(true, 0); // a reset
            socket.close();
            assertTrue(exchange.await(20_000_000_000L));
            assertEquals(List.of("ended"), came());
            StreamServer.Opened again = StreamServer.open(
                    opened.server().address(), 1024, server.codec, exchange, server.log, threads, scheduler);
            assertEquals(StreamServer.Opened.Reached.STARTED, again.reached()); // the address is taken
        } finally {
            opened.server().close();
            threads.stop();
            scheduler.stop();
        }
    }

    private static String line(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = socket.getInputStream().read()) >= 0; ) {
            line.append((char) c);
            if (c == '\n') {
                break;
            }
        }
        return line.toString();
    }
}
