package linenring.stream;

import static linenring.stream.Messages.PING;
import static linenring.stream.Messages.PONG;
import static linenring.stream.Messages.SUBSCRIBE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests races on real connections by forcing an order of events that otherwise occurs once in thousands of runs. A fault would
 * lose a proxy, or leak a connection slot.
 */
class ConnectionRaceTest {
    private static final int MAX_CONNECTIONS = 3;
    /** Sockets that new connections may use while evicted connections are being closed. */
    private static final int SPARE_SOCKETS = 12;
    /** Sockets that the server reserves for purposes other than peers. */
    private static final int RESERVED_SOCKETS = 32;

    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true, StandardCharsets.UTF_8));
    private final Names names = new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4);
    private StreamServer server;

    @BeforeEach
    void startThreads() throws Exception {
        threads.start();
        scheduler.start();
    }

    @AfterEach
    void closeServer() throws Exception {
        server.close();
        threads.stop();
        scheduler.stop();
    }

    private void open(EventQueue eventQueue) throws ListenException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = StreamServer.open(
                any, RESERVED_SOCKETS + MAX_CONNECTIONS, new Codec(names), eventQueue, log, threads, scheduler);
    }

    /** A peer that connects over loopback. */
    private static final class SocketPeer implements AutoCloseable {
        private final Socket socket = new Socket();
        private final BufferedReader reader;

        SocketPeer(InetSocketAddress address) throws IOException {
            socket.setSoTimeout(20_000);
            socket.connect(address);
            reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Returns the next line, or null at the end of the stream. */
        String receive() throws IOException {
            return reader.readLine();
        }

        void assertServed() throws IOException {
            send(PING);
            String line = receive();
            while (line != null && line.contains("CONFIG")) { // updates may arrive before the PONG
                line = receive();
            }
            assertEquals(PONG.strip(), line);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private ControlLoop controlLoop(EventQueue eventQueue) {
        PlannerSettings settings = new PlannerSettings(
                List.of(new PlannerSettings.Operation(1000, 1, -1, -1, false, 1)),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(1200, 4, 1800, 30, 10_000, 100, 300, 2000),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.AdmissionUnit.SHARE,
                false,
                0,
                false,
                6);
        HostList initialHosts = new HostList(
                1,
                true,
                IntStream.range(0, 4)
                        .mapToObj(index -> new HostList.Entry(
                                "s-" + index, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY))
                        .toList());
        return new ControlLoop(settings, names, initialHosts, eventQueue, log);
    }

    /** A proxy abandons a connection and opens another; its message on the first is read after its message on the second. */
    @Test
    void prefersTheStreamOpenedLaterThoughItWasReadFirst() throws Exception {
        EventQueue eventQueue = new EventQueue();
        open(eventQueue);
        ControlLoop controlLoop = controlLoop(eventQueue);
        Thread loopThread = new Thread(controlLoop::run, "control-loop");
        loopThread.start();
        try (SocketPeer first = new SocketPeer(server.address());
                SocketPeer second = new SocketPeer(server.address())) {
            first.send(SUBSCRIBE.substring(0, 10)); // the remaining bytes are sent after the second subscription
            second.send(SUBSCRIBE);
            assertTrue(second.receive().contains("CONFIG"));
            first.send(SUBSCRIBE.substring(10));
            assertNull(first.receive(), "the abandoned stream must be closed without an update");
            second.assertServed();
        } finally {
            loopThread.interrupt();
            loopThread.join();
        }
    }

    /** Another thread closes the connection while the proxy's subscription is being handled. */
    @Test
    void reportsTheEndOfAStreamAfterItsSubscription() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        List<String> eventOrder = Collections.synchronizedList(new ArrayList<>());
        open(new EventQueue() {
            @Override
            public void enqueueMessage(ProxyStream from, InboundMessage message) {
                Thread closer = new Thread(() -> from.close("closed while its subscription is handled"), "closer");
                closer.start();
                while (eventOrder.isEmpty()
                        && Thread.getAllStackTraces().entrySet().stream()
                                .noneMatch(entry -> entry.getKey().getState() == Thread.State.BLOCKED
                                        && Arrays.stream(entry.getValue())
                                                .anyMatch(frame ->
                                                        frame.getMethodName().equals("onClose")))) {
                    Thread.onSpinWait(); // waits until the stream's end is reported, or onClose waits for the lock
                }
                eventOrder.add("subscribed");
            }

            @Override
            public void enqueueStreamClosed(ProxyStream stream) {
                eventOrder.add("ended");
                ended.countDown();
            }
        });
        try (SocketPeer peer = new SocketPeer(server.address())) {
            peer.send(SUBSCRIBE);
            assertTrue(ended.await(20, TimeUnit.SECONDS));
        }
        assertEquals(List.of("subscribed", "ended"), eventOrder);
    }

    @Test
    void freesTheSlotsOfSocketsClosedBeforeTheirOptionsAreSet() throws Exception {
        open(new EventQueue());
        for (int i = 0; i < MAX_CONNECTIONS + SPARE_SOCKETS + 5; i++) {
            SocketChannel closedSocket = acceptedSocket();
            closedSocket.close();
            assertThrows(IOException.class, () -> server.accepted(closedSocket));
        }
        try (SocketPeer peer = new SocketPeer(server.address())) {
            peer.assertServed();
        }
    }

    @Test
    void freesTheSlotsOfSocketsClosedBeforeTheyAreRegistered() throws Exception {
        open(new EventQueue());
        SelectorHold.during(server, hold -> {
            for (int i = 0; i < MAX_CONNECTIONS + SPARE_SOCKETS; i++) {
                SocketChannel closedSocket = acceptedSocket();
                server.accepted(closedSocket);
                closedSocket.close();
            }
        });
        for (int i = 0; i < 2; i++) { // the first PING is processed after the closed sockets
            try (SocketPeer peer = new SocketPeer(server.address())) {
                peer.assertServed();
            }
        }
    }

    /** A server that closes must also close sockets that it has accepted but not opened yet, so that their peers reconnect at once. */
    @Test
    void closesSocketsThatAreAcceptedAndNotOpenYet() throws Exception {
        open(new EventQueue());
        SelectorHold.during(server, hold -> {
            try (ServerSocketChannel listener = ServerSocketChannel.open()) {
                listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                try (SocketPeer peer = new SocketPeer((InetSocketAddress) listener.getLocalAddress())) {
                    server.accepted(listener.accept());
                    Thread closer = new Thread(server::close, "closer");
                    closer.start();
                    assertNull(peer.receive()); // the selector is still paused
                    SocketChannel socketAfterClose = acceptedSocket();
                    server.accepted(socketAfterClose);
                    assertFalse(socketAfterClose.isOpen(), "socket accepted after close must be closed");
                    hold.release();
                    closer.join();
                }
            }
        });
        server.close(); // a second close must have no effect
    }

    /** Returns the accepted side of a connection over loopback. */
    private static SocketChannel acceptedSocket() throws IOException {
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            SocketChannel.open(listener.getLocalAddress());
            return listener.accept();
        }
    }
}
