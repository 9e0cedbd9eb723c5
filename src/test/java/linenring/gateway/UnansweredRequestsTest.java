package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Behaviour;
import linenring.testserver.Frame;
import linenring.testserver.FrameConnection;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.hpack.HpackEncoder;
import org.eclipse.jetty.http2.hpack.HpackException;
import org.junit.jupiter.api.Test;

/** Tests that each request gets a response, a refusal or the end of its connection. */
class UnansweredRequestsTest {
    private static final int MAX_CONNECTIONS = 20;

    private static final int WAIT_MS = 15_000;

    /**
     * A client's GOAWAY announces no more requests, and its earlier requests still get responses. The test client writes
     * nothing after the GOAWAY, since Jetty closes the connection after the last response and the test client stops reading
     * when one of its own writes fails.
     */
    @Test
    void answersAllRequestsOfClientThatSendsGoAway() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends()
                    .forEach(backend ->
                            backend.onPath("/", Reaction.of(Behaviour.ANSWER).withDelayMs(300)));
            TestClient client = fixture.connect().stopWindowUpdates();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                streams.add(client.send("GET", "/quote"));
                streams.add(client.send("POST", "/assign"));
            }
            client.frames().sendGoAway(0, 0);
            for (int stream : streams) {
                assertEquals(200, client.await(stream).status());
            }
            assertEquals(10, fixture.executions("/assign"));
        }
    }

    /** A host closes its idle connections, as a restarted process does. */
    @Test
    void answersRequestsAfterHostResetIdleConnections() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(3)) {
            fixture.sendTableOfAllHosts(RetryPolicy.ONE);
            TestClient client = fixture.connect();
            for (int i = 0; i < 30; i++) {
                assertEquals(200, client.call("GET", "/quote").status());
            }
            fixture.awaitIdle();
            fixture.backends().get(0).close();
            for (int i = 0; i < 60; i++) { // a third of the requests would be sent to the closed backend
                assertEquals(200, client.call("GET", "/quote").status(), "request " + i);
                int status = client.call("POST", "/assign").status();
                assertTrue(status == 200 || status == 502, "request " + i + ": " + status);
            }
            fixture.awaitIdle();
        }
    }

    /** An idle gateway has closed its connections to hosts and clients; later requests on new connections get responses. */
    @Test
    void answersRequestsAfterIdlingPastAllLimits() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2, "hosts idle=\"200ms\"\nclients idle=\"300ms\"")) {
            TestClient first = fixture.connect();
            assertEquals(200, first.call("GET", "/quote").status());
            first.await(first::isClosed, "the idle client connection is closed by the gateway");
            assertEquals(1, first.goAways().size(), "number of GOAWAY frames before the close");
            first.await(
                    () -> fixture.backends().stream().allMatch(backend -> backend.openConnectionCount() == 0),
                    "the idle connections to hosts are closed by the gateway");
            for (int i = 0; i < 10; i++) {
                TestClient next = fixture.connect();
                assertEquals(200, next.call("POST", "/assign").status());
            }
        }
    }

    /** Requests arrive around the moment when idle connections to clients and hosts are closed. */
    @Test
    void answersRequestAtIdleLimitOrEndsConnection() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2, "hosts idle=\"30ms\"\nclients idle=\"40ms\"")) {
            int answered = 0;
            for (int i = 0; i < 60; i++) {
                TestClient client = connectAndCall(fixture);
                TimeUnit.MILLISECONDS.sleep(25 + i % 30);
                try {
                    int stream = client.send("POST", "/assign");
                    TestClient.Response answer = client.await(stream);
                    assertTrue(answer.status() == 200 || answer.hasEnded() || client.isClosed());
                    answered += answer.status() == 200 ? 1 : 0;
                } catch (IOException failure) {
                    client.await(
                            client::isClosed,
                            "the connection ends"); // the connection was closed before the request was sent
                }
            }
            assertTrue(answered > 0);
            fixture.awaitIdle();
        }
    }

    /**
     * Returns a client whose first request got a response. On a busy machine the first request may arrive after the idle
     * timeout of its new connection; the request is then sent on another connection.
     */
    private static TestClient connectAndCall(GatewayFixture fixture) throws Exception {
        for (int connections = 0; connections < MAX_CONNECTIONS; connections++) {
            TestClient client = fixture.connect();
            try {
                int status = client.call("GET", "/quote").status();
                if (status == 200) {
                    return client;
                }
                assertEquals(0, status, "a request without a response has the status 0 of a closed connection");
            } catch (IOException failure) {
                // the connection was closed before the request was sent
            }
            client.await(client::isClosed, "the connection ends");
        }
        return fail("no first request got a response on " + MAX_CONNECTIONS + " connections");
    }

    /**
     * Clients connect and send requests while a drain begins. Each request gets a response or the end of its connection
     * well before the drain's time limit.
     */
    @Test
    void answersOrEndsConnectionsOpenedAtStartOfDrain() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2, "drain \"10s\"")) {
            fixture.backends()
                    .forEach(backend ->
                            backend.onPath("/", Reaction.of(Behaviour.ANSWER).withDelayMs(1500)));
            TestClient activeClient = fixture.connect();
            int activeStream = activeClient.send("GET", "/quote"); // an active request that makes the drain last longer
            activeClient.await(() -> fixture.executions("/quote") == 1, "the backend executes the request");
            List<Socket> clients = new ArrayList<>();
            byte[] request = request();
            for (int i = 0; i < 40; i++) {
                if (i == 20) {
                    fixture.gateway().drain();
                } else if (i == 30) {
                    // sockets 20 to 29 connect as the drain begins, later sockets well after its beginning
                    TimeUnit.MILLISECONDS.sleep(100);
                }
                Socket socket = new Socket();
                try {
                    socket.connect(new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), fixture.gateway().port()));
                    socket.getOutputStream().write(request);
                    clients.add(socket);
                } catch (IOException failure) {
                    socket.close(); // refused or reset connections tell the client to use another gateway
                }
            }
            long startNanos = System.nanoTime();
            for (Socket socket : clients) {
                assertAnsweredOrEnded(socket);
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMs < 8000, "all clients got a response or an end after " + elapsedMs + " ms");
            assertEquals(200, activeClient.await(activeStream).status());
            fixture.gateway().awaitDrained();
        }
    }

    /** The gateway's SETTINGS precede its GOAWAY (RFC 9113, 3.4), which announces that no stream was processed. */
    @Test
    void sendsSettingsThenGoAwayToClientConnectingDuringDrain() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1, "drain \"10s\"")) {
            fixture.backends()
                    .get(0)
                    .onPath("/quote", Reaction.of(Behaviour.ANSWER).withDelayMs(1500));
            TestClient activeClient = fixture.connect();
            int activeStream = activeClient.send("GET", "/quote");
            activeClient.await(() -> fixture.executions("/quote") == 1, "the backend executes the request");
            fixture.gateway().drain();
            Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(), fixture.gateway().port());
            socket.setSoTimeout(WAIT_MS);
            try (FrameConnection frames = new FrameConnection(socket)) {
                frames.sendBytes(request());
                assertEquals(Frame.SETTINGS, frames.read().type());
                Frame frame = frames.read();
                while (frame.type() != Frame.GOAWAY) {
                    frame = frames.read();
                }
                assertEquals(0, frame.readUint31(0), "last stream of the GOAWAY");
                assertEquals(0, frame.readUint31(4), "error code of the GOAWAY is NO_ERROR");
            }
            assertEquals(200, activeClient.await(activeStream).status());
            fixture.gateway().awaitDrained();
            assertEquals(0, fixture.executions("/assign"));
        }
    }

    /** Asserts that stream 1 gets a response, a reset or a GOAWAY below it, or that its connection ends. */
    private static void assertAnsweredOrEnded(Socket socket) throws IOException {
        socket.setSoTimeout(WAIT_MS);
        try (FrameConnection frames = new FrameConnection(socket)) {
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                if (frame.type() == Frame.HEADERS
                        || frame.type() == Frame.RST_STREAM
                        || (frame.type() == Frame.GOAWAY && frame.readUint31(0) < 1)) {
                    return;
                }
            }
        } catch (SocketTimeoutException failure) {
            throw new AssertionError("a client got neither a response nor the end of its connection", failure);
        } catch (IOException failure) {
            // a reset ends the connection
        }
    }

    @Test
    void answersRequestSplitAtAnyByte() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            byte[] request = request();
            for (int splitIndex = 1; splitIndex < request.length; splitIndex++) {
                assertEquals(
                        200,
                        status(
                                fixture,
                                Arrays.copyOf(request, splitIndex),
                                Arrays.copyOfRange(request, splitIndex, request.length)),
                        "request split at byte " + splitIndex);
            }
            assertEquals(request.length - 1, fixture.executions("/assign"));
        }
    }

    @Test
    void answersRequestSentByteByByte() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            byte[] request = request();
            byte[][] pieces = new byte[request.length][];
            for (int i = 0; i < request.length; i++) {
                pieces[i] = new byte[] {request[i]};
            }
            assertEquals(200, status(fixture, pieces));
            assertEquals(1, fixture.executions("/assign"));
        }
    }

    /** A client closes its connection within a request: no host executes the request, and its capacity is released. */
    @Test
    void leavesNothingActiveAfterIncompleteRequest() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            byte[] request = request();
            for (int splitIndex = 0; splitIndex < request.length; splitIndex++) {
                try (Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), fixture.gateway().port())) {
                    socket.getOutputStream().write(Arrays.copyOf(request, splitIndex));
                    socket.setSoLinger(splitIndex % 2 == 0, 0); // closes by a TCP reset or by an ordinary FIN
                }
            }
            TestClient client = fixture.connect();
            assertEquals(200, client.call("GET", "/quote").status());
            fixture.awaitIdle();
            client.await(() -> fixture.backends().get(0).activeRequests() == 0, "no request is active at the backend");
        }
    }

    /** Sends the pieces with pauses on a new connection and returns the response status, or -1 without a response. */
    private static int status(GatewayFixture fixture, byte[]... pieces) throws Exception {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), fixture.gateway().port());
        socket.setSoTimeout(WAIT_MS);
        try (FrameConnection frames = new FrameConnection(socket)) { // FrameConnection sets TCP_NODELAY
            for (byte[] piece : pieces) {
                frames.sendBytes(piece);
                TimeUnit.MILLISECONDS.sleep(2); // a pause, so that the gateway reads each piece separately
            }
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                if (frame.type() == Frame.HEADERS) {
                    return ((MetaData.Response) frames.decode(frame)).getStatus();
                }
            }
        }
        return -1;
    }

    /** Returns the bytes of a complete client connection: preface, SETTINGS, request headers and two DATA frames. */
    private static byte[] request() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(FrameConnection.preface());
        bytes.write(frame(4, 0, 0));
        ByteBuffer head = ByteBuffer.allocate(1024);
        try {
            new HpackEncoder().encode(head, FrameConnection.requestHead("POST", "/assign", HttpFields.build()));
        } catch (HpackException failure) {
            throw new IOException(failure);
        }
        bytes.write(frame(Frame.HEADERS, Frame.END_HEADERS, 1, Arrays.copyOf(head.array(), head.position())));
        bytes.write(frame(Frame.DATA, 0, 1, (byte) 'a', (byte) 'b'));
        bytes.write(frame(Frame.DATA, Frame.END_STREAM, 1, (byte) 'c'));
        return bytes.toByteArray();
    }

    private static byte[] frame(int type, int flags, int stream, byte... payload) {
        byte[] frame = new byte[9 + payload.length];
        frame[1] = (byte) (payload.length >> 8);
        frame[2] = (byte) payload.length;
        frame[3] = (byte) type;
        frame[4] = (byte) flags;
        frame[8] = (byte) stream;
        System.arraycopy(payload, 0, frame, 9, payload.length);
        return frame;
    }
}
