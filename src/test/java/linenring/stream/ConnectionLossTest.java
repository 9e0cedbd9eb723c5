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
 * Tests that the slots and the memory of lost peers are released, for example after a machine is killed right after its proxies
 * connected, or a proxy stops sending after hours of service. A leak would exhaust the controller's connection limit within days.
 */
class ConnectionLossTest {
    /** Connection limit: far above the number of lost but undetected peers at any time, and far below the total of a test. */
    private static final int MAX_CONNECTIONS = 100;

    private static final int RESETS_PER_ROUND = 8;
    private static final int ROUNDS = 60;
    /** Number of simultaneous resets: more than the spare sockets, and within the listener's backlog. */
    private static final int SIMULTANEOUS_RESETS = MAX_CONNECTIONS + 20;
    /** Sockets that the server reserves for purposes other than peers. */
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
        assertTrue(isServed(), "server did not answer a PING");
    }

    private boolean isServed() throws IOException {
        try (Socket peer = connect()) {
            write(peer, PING);
            return PONG.strip().equals(readLine(peer));
        } catch (java.net.SocketException failure) {
            return false; // the server reset the connection
        }
    }

    /** The kernel has accepted connections, but the peers are killed before the server accepts any of them. */
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

    /** Peers are reset one by one while the selector runs, so that some are reset before their registration and some after. */
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

    /** More resets than allowed connections at once: a peer that connects meanwhile may be rejected, but is served on a retry. */
    @Test
    void servesReconnectingPeersAfterMoreResetsThanConnectionsAllowed() throws Exception {
        SelectorHold.during(server, hold -> {
            for (int i = 0; i < SIMULTANEOUS_RESETS; i++) {
                reset(connect());
            }
        });
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!isServed()) {
            assertTrue(System.nanoTime() < deadlineNanos, "server still rejects connections after the timeout");
            TimeUnit.MILLISECONDS.sleep(100); // proxies reconnect after 0.1 s to 2 s
        }
        assertServed();
        assertEquals(List.of(), receivedEvents());
    }

    /** One proxy is reset while it sends its subscription, which must not be reported, and one after its subscription. */
    @Test
    void reportsTheStreamEndOnlyOfAProxyWhoseSubscriptionWasComplete() throws Exception {
        Socket resetWithinSubscription = connect();
        write(resetWithinSubscription, SUBSCRIBE.substring(0, 20));
        reset(resetWithinSubscription);
        assertServed(); // the answer shows that the server has processed the reset
        assertEquals(List.of(), receivedEvents());
        Socket resetAfterSubscription = connect();
        write(resetAfterSubscription, SUBSCRIBE);
        awaitEvents(1);
        reset(resetAfterSubscription);
        awaitEvents(2);
        assertEquals(List.of(new InboundMessage.Subscribe(3, 0, 2.5, true), "ended"), handler.events());
    }

    /** The server closes while only the kernel has accepted some connections: their peers must notice, so that they reconnect. */
    @Test
    void closesConnectionsThatAreOnlyQueuedWhenTheServerCloses() throws Exception {
        List<Socket> queuedSockets = new ArrayList<>();
        Thread closer = new Thread(server::close, "closer");
        SelectorHold.during(server, hold -> {
            for (int i = 0; i < 8; i++) {
                Socket socket = connect();
                write(socket, SUBSCRIBE);
                queuedSockets.add(socket);
            }
            closer.start();
            while (closer.getState() != Thread.State.TERMINATED && server.isRunning()) {
                Thread.onSpinWait(); // waits until the server has closed all connections and stops its selectors
            }
        });
        closer.join();
        for (Socket socket : queuedSockets) {
            assertClosed(socket);
        }
        assertEquals(List.of(), receivedEvents());
    }

    private static void assertClosed(Socket socket) throws IOException {
        try (socket) {
            assertNull(readLine(socket));
        } catch (java.net.SocketTimeoutException failure) {
            throw new AssertionError("the peer did not see the end of its connection", failure);
        } catch (IOException failure) {
            // a reset also ends the connection
        }
    }

    /** Updates that the peer read earlier must not count toward the limit of unsent bytes. */
    @Test
    void closesAProxyThatStopsReadingAfterLongServiceAsSoonAsANewOne() {
        int updatesToNewPeer = updatesUntilClosed(0);
        int updatesToLongConnectedPeer = updatesUntilClosed(50_000);
        assertEquals(updatesToNewPeer, updatesToLongConnectedPeer);
        assertTrue(updatesToNewPeer > 500 && updatesToNewPeer < 5000, updatesToNewPeer + " updates");
    }

    private int updatesUntilClosed(int updatesReadBefore) {
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
        for (int nonce = 0; nonce < updatesReadBefore; nonce++) {
            peer.connection().write(update(nonce));
            peer.takeOutput(); // the peer reads each update at once and acknowledges it
            peer.addInput(acknowledgement(3, nonce, 1));
        }
        int unreadUpdates = 0;
        while (peer.isOpen() && unreadUpdates < 100_000) {
            peer.connection().write(update(unreadUpdates % 10));
            unreadUpdates++;
        }
        return unreadUpdates;
    }

    /** The timeout of an unfinished line starts with the line, not with the connection. */
    @Test
    void closesAProxyThatFallsSilentWithinAMessageAfterLongService() throws Exception {
        try (Socket peer = connect()) {
            write(peer, SUBSCRIBE);
            for (int i = 0; i < 2000; i++) {
                write(peer, RATE);
            }
            long lineStartNanos = System.nanoTime();
            write(peer, "{\"@type\":\"RATE\",\"id\":3,");
            assertNull(readLine(peer));
            long closedAfterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lineStartNanos);
            assertTrue(closedAfterMs >= 2900, "closed after " + closedAfterMs + " ms"); // proxies may pause for 2 s
        }
        awaitEvents(2002);
        assertEquals("ended", handler.events().get(handler.events().size() - 1));
    }

    private void awaitEvents(int count) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (receivedEvents().size() < count) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    count + " events expected, but found " + handler.events().size());
            eventQueue.await(TimeUnit.MILLISECONDS.toNanos(100));
        }
    }

    private List<Object> receivedEvents() {
        eventQueue.drainTo(handler);
        return handler.events();
    }
}
