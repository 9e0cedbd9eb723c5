package linenring.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linenring.event.EventQueue;
import linenring.event.RecordingEventHandler;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Peers that are killed right behind the accept, and peers that fall silent after long service. */
class ConnectionLossTest {
    private static final String JOIN = "{\"@type\":\"SUBSCRIBE\",\"id\":3,\"site\":\"a\",\"rps\":2.5,\"new\":true}\n";
    /** Far above what may be dead and not read yet at one instant, and far below what dies in a whole test. */
    private static final int CONNECTIONS_MOST = 100;

    private static final int RESETS_A_ROUND = 8, ROUNDS = 60;
    private static final int RESETS_AT_ONCE =
            CONNECTIONS_MOST + 20; // beyond the spare ones, within the listener's queue
    private static final int OWN_SOCKETS = 32; // the process's, which are not the peers'
    private static final int WAIT_MS = 20_000;
    private static final String ANSWER = "{\"@type\":\"ACK\",\"id\":3,\"seq\":%d,\"ms\":1}\n";

    private final EventQueue exchange = new EventQueue();
    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final List<CountDownLatch> holds = new ArrayList<>(); // to be let go where a test ends early
    private StreamServer server;

    @BeforeEach
    void open() throws Exception {
        threads.start();
        scheduler.start();
        server = StreamServer.open(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        OWN_SOCKETS + CONNECTIONS_MOST,
                        new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4)),
                        exchange,
                        new Log(new PrintStream(logged, true)),
                        threads,
                        scheduler)
                .server();
    }

    @AfterEach
    void close() throws Exception {
        holds.forEach(CountDownLatch::countDown);
        server.close();
        threads.stop();
        scheduler.stop();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(WAIT_MS);
        socket.connect(server.address());
        return socket;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static String readLine(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8)).readLine();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void assertServed() throws IOException {
        assertTrue(isServed(), "no answer to a PING");
    }

    private boolean isServed() throws IOException {
        try (Socket peer = connect()) {
            write(peer, "{\"@type\":\"PING\"}\n");
            return "{\"@type\":\"PONG\"}".equals(readLine(peer));
        } catch (java.net.SocketException e) {
            return false; // reset
        }
    }

    /** The kernel has accepted for us; the peers' processes die before we have taken one of them in. */
    @Test
    void thoseThatAreResetBeforeTheyAreTakenInGiveTheirPlacesBack() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            CountDownLatch resume = holdSelector();
            for (int i = 0; i < RESETS_A_ROUND; i++) {
                reset(connect());
            }
            resume.countDown();
            assertServed();
        }
        assertEquals(List.of(), arrivals());
    }

    /** One after the other, with the selector at work: some die before, some behind their registering. */
    @Test
    void thoseThatAreResetRightBehindTheAcceptGiveTheirPlacesBack() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < RESETS_A_ROUND; i++) {
                reset(connect());
            }
            assertServed();
        }
        assertEquals(List.of(), arrivals());
    }

    /** More at one instant than may be open: whoever dials meanwhile may be refused, and is served when it dials again. */
    @Test
    void afterMoreResetsThanMayBeOpenWhoDialsAgainIsServed() throws Exception {
        CountDownLatch resume = holdSelector();
        for (int i = 0; i < RESETS_AT_ONCE; i++) {
            reset(connect());
        }
        resume.countDown();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!isServed()) {
            assertTrue(System.nanoTime() < end, "nobody is served");
            TimeUnit.MILLISECONDS.sleep(100); // proxies dial again within 0.1 to 2 s
        }
        assertServed();
        assertEquals(List.of(), arrivals());
    }

    /** Killed within its joining, and right behind it: the first is none, the second has joined and left. */
    @Test
    void aProxyThatIsResetInsideOrBehindItsJoiningIsToldAsItWas() throws Exception {
        Socket within = connect();
        write(within, JOIN.substring(0, 20));
        reset(within);
        assertServed(); // behind which the first has been read
        assertEquals(List.of(), arrivals());
        Socket behind = connect();
        write(behind, JOIN);
        awaitArrivals(1);
        reset(behind);
        awaitArrivals(2);
        assertEquals(List.of(new InboundMessage.Subscribe(3, 0, 2.5, true), "ended"), taker.taken());
    }

    /** The process is told to end while connections are accepted by the kernel alone: their peers hear so and dial elsewhere. */
    @Test
    void whoeverIsAcceptedAndNotTakenInYetHearsOfTheEndAtOnce() throws Exception {
        CountDownLatch resume = holdSelector();
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Socket socket = connect();
            write(socket, JOIN);
            waiting.add(socket);
        }
        Thread closes = new Thread(server::close, "closes");
        closes.start();
        while (closes.getState() != Thread.State.TERMINATED && server.isRunning()) {
            Thread.onSpinWait(); // until it has closed all and stops the selectors
        }
        resume.countDown();
        closes.join();
        for (Socket socket : waiting) {
            assertEnds(socket);
        }
        assertEquals(List.of(), arrivals());
    }

    private static void assertEnds(Socket socket) throws IOException {
        try (socket) {
            assertNull(readLine(socket));
        } catch (java.net.SocketTimeoutException e) {
            throw new AssertionError("it hears nothing", e);
        } catch (IOException e) {
            // reset, which is an end as well
        }
    }

    /** What it had read before leaves no trace in what counts as unread. */
    @Test
    void aProxyThatStopsReadingAfterLongServiceIsLetGoAsOneThatNeverRead() {
        int least = ordersUntilLetGo(0), late = ordersUntilLetGo(50_000);
        assertEquals(least, late);
        assertTrue(least > 500 && least < 5000, least + " orders");
    }

    private int ordersUntilLetGo(int readBefore) {
        StreamServer inMemory = new StreamServer(
                Runnable::run,
                scheduler,
                1024,
                new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4)),
                new EventQueue(),
                new Log(new PrintStream(logged, true)));
        ReadingPeer peer = new ReadingPeer(inMemory);
        peer.addInput(JOIN);
        for (int mark = 0; mark < readBefore; mark++) {
            peer.connection.write(order(mark));
            peer.takeOutput(); // it reads at once, and answers
            peer.addInput(String.format(ANSWER, mark));
        }
        int unread = 0;
        while (peer.isOpen() && unread < 100_000) {
            peer.connection.write(order(unread++ % 10));
        }
        return unread;
    }

    private static ConfigurationUpdate order(int mark) {
        return new ConfigurationUpdate(List.of(
                new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of("s-1"), List.of(), mark % 10)));
    }

    /** A peer in memory that reads only when the test does so. */
    private static final class ReadingPeer extends ByteArrayEndPoint {
        private static final int UNREAD_MOST = 1024;
        final PeerConnection connection;

        ReadingPeer(StreamServer server) {
            super(null, 0, new byte[0], UNREAD_MOST);
            connection = new PeerConnection(this, Runnable::run, server, 0);
            setConnection(connection);
            connection.onOpen();
        }

        @Override
        protected void execute(Runnable task) {
            task.run();
        }
    }

    /** A line that is not at its end is judged by when it began, however long the connection has served. */
    @Test
    void aProxyThatFallsSilentInsideAMessageAfterLongServiceIsLetGo() throws Exception {
        try (Socket peer = connect()) {
            write(peer, JOIN);
            for (int i = 0; i < 2000; i++) {
                write(peer, "{\"@type\":\"RATE\",\"id\":3,\"lane\":\"lookup\",\"count\":4,\"fail\":0,\"over\":500}\n");
            }
            long begun = System.nanoTime();
            write(peer, "{\"@type\":\"RATE\",\"id\":3,");
            assertNull(readLine(peer));
            long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            assertTrue(ms >= 2900, "let go after " + ms + " ms"); // proxies stand still for 2 s at times
        }
        awaitArrivals(2002);
        assertEquals("ended", taker.taken().get(taker.taken().size() - 1));
    }

    private final RecordingEventHandler taker = new RecordingEventHandler();

    private void awaitArrivals(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (arrivals().size() < count) {
            assertTrue(
                    System.nanoTime() < end,
                    count + " arrivals, and not " + taker.taken().size());
            exchange.await(TimeUnit.MILLISECONDS.toNanos(100));
        }
    }

    private List<Object> arrivals() {
        exchange.drain(taker);
        return taker.taken();
    }

    /** The selector stands from now on, until the latch is counted down. */
    private CountDownLatch holdSelector() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1), resume = new CountDownLatch(1);
        holds.add(resume);
        server.getBeans(ManagedSelector.class).iterator().next().submit(selector -> {
            held.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        return resume;
    }
}
