package linenring.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import linenring.controller.ControlLoop;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.PlannerSettings;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders of events on real connections that come once in thousands, made to come each time. */
class ConnectionRaceTest {
    private static final String JOIN = "{\"@type\":\"SUBSCRIBE\",\"id\":3,\"site\":\"a\",\"rps\":2.5,\"new\":true}\n";
    private static final int MOST = 3, SPARE = 12; // connections; those that may be let go meanwhile

    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true));
    private final Names names = new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4);
    private final CountDownLatch goesOn = new CountDownLatch(1); // a selector that was held
    private StreamServer server;

    @BeforeEach
    void begins() throws Exception {
        threads.start();
        scheduler.start();
    }

    @AfterEach
    void ends() throws Exception {
        goesOn.countDown(); // where a story ended before it let go
        server.close();
        threads.stop();
        scheduler.stop();
    }

    private void open(EventQueue exchange) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = StreamServer.open(any, 32 + MOST, new Codec(names), exchange, log, threads, scheduler)
                .server();
    }

    /** A peer over loopback. */
    private static final class Peer implements AutoCloseable {
        final Socket socket = new Socket();
        final BufferedReader in;

        Peer(InetSocketAddress at) throws IOException {
            socket.setSoTimeout(20_000);
            socket.connect(at);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }

        void says(String words) throws IOException {
            socket.getOutputStream().write(words.getBytes(StandardCharsets.UTF_8));
        }

        /** The next line that is no order, or null at the end. */
        String hears() throws IOException {
            String line = in.readLine();
            while (line != null && line.contains("CONFIG")) {
                line = in.readLine();
            }
            return line;
        }

        void isServed() throws IOException {
            says("{\"@type\":\"PING\"}\n");
            assertEquals("{\"@type\":\"PONG\"}", hears());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private ControlLoop steward(EventQueue exchange) {
        PlannerSettings figures = new PlannerSettings(
                List.of(new PlannerSettings.Operation(1000, 1, -1, -1, false, 1)),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(1200, 4, 1800, 30, 10_000, 100, 300, 2000),
                new PlannerSettings.Slices(0, false, 0, 0),
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
        HostList known = new HostList(
                1,
                true,
                IntStream.range(0, 4)
                        .mapToObj(h ->
                                new HostList.Entry("s-" + h, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY))
                        .toList());
        return new ControlLoop(figures, names, known, exchange, log);
    }

    /** The proxy gave its first dial up and dialled again; its first words come to be read after those of the second. */
    @Test
    void theStreamThatWasOpenedLaterCountsThoughItWasReadFirst() throws Exception {
        EventQueue exchange = new EventQueue();
        open(exchange);
        ControlLoop steward = steward(exchange);
        Thread decides = new Thread(steward::run, "decides");
        decides.start();
        try (Peer first = new Peer(server.address());
                Peer second = new Peer(server.address())) {
            first.says(JOIN.substring(0, 10)); // a byte of it is held back
            second.says(JOIN);
            assertTrue(second.in.readLine().contains("CONFIG"));
            first.says(JOIN.substring(10));
            assertNull(first.in.readLine(), "the one that was left gets no order");
            second.isServed();
        } finally {
            decides.interrupt();
            decides.join();
        }
    }

    /** Another thread closes the connection at the very moment at which its joining is read. */
    @Test
    void noEndOfAStreamOvertakesItsJoining() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        List<String> order = java.util.Collections.synchronizedList(new ArrayList<>());
        open(new EventQueue() {
            @Override
            public void arrived(ProxyStream from, InboundMessage what) {
                Thread closes = new Thread(() -> from.close("at the wrong moment"), "closes");
                closes.start();
                while (order.isEmpty()
                        && Thread.getAllStackTraces().entrySet().stream()
                                .noneMatch(e -> e.getKey().getState() == Thread.State.BLOCKED
                                        && Arrays.stream(e.getValue())
                                                .anyMatch(f -> f.getMethodName().equals("onClose")))) {
                    Thread.onSpinWait(); // till the end is told, or waits for its turn
                }
                order.add("joins");
            }

            @Override
            public void ended(ProxyStream which) {
                order.add("ends");
                told.countDown();
            }
        });
        try (Peer peer = new Peer(server.address())) {
            peer.says(JOIN);
            assertTrue(told.await(20, java.util.concurrent.TimeUnit.SECONDS));
        }
        assertEquals(List.of("joins", "ends"), order);
    }

    @Test
    void socketsThatDieBeforeTheirOptionsAreSetTakeNobodysPlace() throws Exception {
        open(new EventQueue());
        for (int i = 0; i < MOST + SPARE + 5; i++) {
            SocketChannel dies = accepted();
            dies.close();
            assertThrows(IOException.class, () -> server.accepted(dies));
        }
        try (Peer peer = new Peer(server.address())) {
            peer.isServed();
        }
    }

    @Test
    void socketsThatDieBeforeTheyAreRegisteredTakeNobodysPlace() throws Exception {
        open(new EventQueue());
        holdSelector();
        for (int i = 0; i < MOST + SPARE; i++) {
            SocketChannel dies = accepted();
            server.accepted(dies);
            dies.close();
        }
        goesOn.countDown();
        for (int i = 0; i < 2; i++) { // the first is read after all of these
            try (Peer peer = new Peer(server.address())) {
                peer.isServed();
            }
        }
    }

    /** Whoever is accepted and on the way while the server closes hears so at once, and may dial elsewhere. */
    @Test
    void aCloseEndsThoseThatAreAcceptedAndNotOpenedYet() throws Exception {
        open(new EventQueue());
        holdSelector();
        try (ServerSocketChannel listens = ServerSocketChannel.open()) {
            listens.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            try (Peer peer = new Peer((InetSocketAddress) listens.getLocalAddress())) {
                server.accepted(listens.accept());
                Thread closes = new Thread(server::close, "closes");
                closes.start();
                assertNull(peer.in.readLine()); // while the selector still stands
                SocketChannel late = accepted();
                server.accepted(late);
                assertTrue(!late.isOpen(), "nobody is taken in any more");
                goesOn.countDown();
                closes.join();
            }
        }
        server.close(); // a second one changes nothing
    }

    /** Has the server's selector stand until it is let go on. */
    private void holdSelector() throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        server.getBeans(ManagedSelector.class).iterator().next().submit(selector -> {
            stands.countDown();
            try {
                goesOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stands.await();
    }

    /** The accepted side of a connection over loopback. */
    private static SocketChannel accepted() throws IOException {
        try (ServerSocketChannel listens = ServerSocketChannel.open()) {
            listens.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            SocketChannel.open(listens.getLocalAddress());
            return listens.accept();
        }
    }
}
