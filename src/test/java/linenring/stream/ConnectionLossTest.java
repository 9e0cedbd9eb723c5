package linenring.stream;

import static linenring.stream.Messages.PING;
import static linenring.stream.Messages.PONG;
import static linenring.stream.Messages.RATE;
import static linenring.stream.Messages.SUBSCRIBE;
import static linenring.stream.Messages.acknowledgement;
import static linenring.stream.Messages.update;
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
import java.util.concurrent.TimeUnit;
import linenring.event.EventQueue;
import linenring.event.RecordingEventHandler;
import linenring.log.Log;
import linenring.protocol.InboundMessage;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Peers die at awkward moments: a whole machine is killed right after its proxies connected, or a proxy falls silent after
 * hours. Places and memory that such a peer held have to come back, or the controller is full after some such days.
 */
class ConnectionLossTest {
    /** Far above what may be dead and not read yet at one instant, and far below what dies in a whole test. */
    private static final int MAX_CONNECTIONS = 100;

    private static final int RESETS_PER_ROUND = 8;
    private static final int ROUNDS = 60;
    /** More than the spare ones, and within the listener's backlog. */
    private static final int SIMULTANEOUS_RESETS = MAX_CONNECTIONS + 20;
    /** The process's, which are not the peers'. */
    private static final int RESERVED_SOCKETS = 32;

    private static final int WAIT_MS = 20_000;

    private final EventQueue eventQueue = new EventQueue();
    private final RecordingEventHandler handler = new RecordingEventHandler();
    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private StreamServer server;

    @BeforeEach
    void open() throws Exception {
        threads.start();
        scheduler.start();
        server = StreamServer.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                RESERVED_SOCKETS + MAX_CONNECTIONS,
                Messages.codec(),
                eventQueue,
                new Log(new PrintStream(logged, true, StandardCharsets.UTF_8)),
                threads,
                scheduler);
    }

    @AfterEach
    void close() throws Exception {
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
            write(peer, PING);
            return PONG.strip().equals(readLine(peer));
        } catch (java.net.SocketException failure) {
            return false; // reset
        }
    }

    /** The kernel has accepted the connections; the peers' processes die before the server has seen one of them. */
    @Test
    void freesTheSlotsOfPeersResetBeforeTheyAreAccepted() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            SelectorHold.during(server, hold -> {
                for (int i = 0; i < RESETS_PER_ROUND; i++) {
                    reset(connect());
                }
            });
            assertServed();
        }
        assertEquals(List.of(), receivedEvents());
    }

    /** One after the other, with the selector at work: some die before they are registered, some after. */
    @Test
    void freesTheSlotsOfPeersResetRightAfterTheyAreAccepted() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < RESETS_PER_ROUND; i++) {
                reset(connect());
            }
            assertServed();
        }
        assertEquals(List.of(), receivedEvents());
    }

    /** More at one instant than may be open: whoever connects meanwhile may be refused, and is served when it tries again. */
    @Test
    void servesReconnectingPeersAfterMoreResetsThanConnectionsAllowed() throws Exception {
        SelectorHold.during(server, hold -> {
            for (int i = 0; i < SIMULTANEOUS_RESETS; i++) {
                reset(connect());
            }
        });
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!isServed()) {
            assertTrue(System.nanoTime() < end, "nobody is served");
            TimeUnit.MILLISECONDS.sleep(100); // proxies reconnect within 0.1 to 2 s
        }
        assertServed();
        assertEquals(List.of(), receivedEvents());
    }

    /** Killed within its subscription, and right after it: the first was never there, the second came and left. */
    @Test
    void reportsTheStreamEndOnlyOfAProxyWhoseSubscriptionWasComplete() throws Exception {
        Socket within = connect();
        write(within, SUBSCRIBE.substring(0, 20));
        reset(within);
        assertServed(); // by then the first has been read
        assertEquals(List.of(), receivedEvents());
        Socket behind = connect();
        write(behind, SUBSCRIBE);
        awaitEvents(1);
        reset(behind);
        awaitEvents(2);
        assertEquals(List.of(new InboundMessage.Subscribe(3, 0, 2.5, true), "ended"), handler.events());
    }

    /** The process ends while connections are accepted by the kernel alone: their peers notice and connect elsewhere. */
    @Test
    void closesConnectionsThatAreOnlyQueuedWhenTheServerCloses() throws Exception {
        List<Socket> waiting = new ArrayList<>();
        Thread closer = new Thread(server::close, "closer");
        SelectorHold.during(server, hold -> {
            for (int i = 0; i < 8; i++) {
                Socket socket = connect();
                write(socket, SUBSCRIBE);
                waiting.add(socket);
            }
            closer.start();
            while (closer.getState() != Thread.State.TERMINATED && server.isRunning()) {
                Thread.onSpinWait(); // until it has closed all and stops the selectors
            }
        });
        closer.join();
        for (Socket socket : waiting) {
            assertClosed(socket);
        }
        assertEquals(List.of(), receivedEvents());
    }

    private static void assertClosed(Socket socket) throws IOException {
        try (socket) {
            assertNull(readLine(socket));
        } catch (java.net.SocketTimeoutException failure) {
            throw new AssertionError("it does not notice", failure);
        } catch (IOException failure) {
            // reset, which is an end as well
        }
    }

    /** What it had read before does not count as unread. */
    @Test
    void closesAProxyThatStopsReadingAfterLongServiceAsSoonAsANewOne() {
        int least = updatesUntilClosed(0);
        int late = updatesUntilClosed(50_000);
        assertEquals(least, late);
        assertTrue(least > 500 && least < 5000, least + " updates");
    }

    private int updatesUntilClosed(int readBefore) {
        StreamServer inMemory = new StreamServer(
                Runnable::run,
                scheduler,
                1024,
                Messages.codec(),
                new EventQueue(),
                new Log(new PrintStream(logged, true, StandardCharsets.UTF_8)),
                System::nanoTime);
        InMemoryPeer peer = new InMemoryPeer(inMemory, 1024);
        peer.addInput(SUBSCRIBE);
        for (int nonce = 0; nonce < readBefore; nonce++) {
            peer.connection().write(update(nonce));
            peer.takeOutput(); // it reads at once, and answers
            peer.addInput(acknowledgement(3, nonce, 1));
        }
        int unread = 0;
        while (peer.isOpen() && unread < 100_000) {
            peer.connection().write(update(unread % 10));
            unread++;
        }
        return unread;
    }

    /** An unfinished line is judged by when it began, however long the connection has served. */
    @Test
    void closesAProxyThatFallsSilentWithinAMessageAfterLongService() throws Exception {
        try (Socket peer = connect()) {
            write(peer, SUBSCRIBE);
            for (int i = 0; i < 2000; i++) {
                write(peer, RATE);
            }
            long begun = System.nanoTime();
            write(peer, "{\"@type\":\"RATE\",\"id\":3,");
            assertNull(readLine(peer));
            long closedAfterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            assertTrue(
                    closedAfterMs >= 2900,
                    "closed after " + closedAfterMs + " ms"); // proxies stand still for 2 s at times
        }
        awaitEvents(2002);
        assertEquals("ended", handler.events().get(handler.events().size() - 1));
    }

    private void awaitEvents(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (receivedEvents().size() < count) {
            assertTrue(
                    System.nanoTime() < end,
                    count + " arrivals, and not " + handler.events().size());
            eventQueue.await(TimeUnit.MILLISECONDS.toNanos(100));
        }
    }

    private List<Object> receivedEvents() {
        eventQueue.drainTo(handler);
        return handler.events();
    }
}
