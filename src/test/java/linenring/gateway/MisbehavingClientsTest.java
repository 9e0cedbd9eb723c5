package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Behaviour;
import linenring.testserver.Frame;
import linenring.testserver.FrameConnection;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http2.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests clients that violate rules or limits of HTTP/2 (RFC 9113, 5.1, 6, 10.5). Only the violating client's stream or connection
 * is closed, and other clients are still served.
 */
@Timeout(60)
class MisbehavingClientsTest {

    private interface Violation {
        void commit(TestClient client) throws IOException;
    }

    /** Asserts that the connection of the violating client is closed with one of the error codes and that other clients are served. */
    private static void assertEndsViolatorAlone(GatewayFixture fixture, Set<Integer> codes, Violation violation)
            throws IOException {
        TestClient other = fixture.connect();
        assertEquals(200, other.call("GET", "/quote").status());
        TestClient violatingClient = fixture.connect();
        try {
            violation.commit(violatingClient);
        } catch (IOException failure) {
            // the gateway closed the connection during the violation
        }
        violatingClient.await(violatingClient::isClosed, "the connection of the violating client is closed");
        if (!violatingClient.goAways().isEmpty()) { // a reset of the connection may lose the GOAWAY
            int code = violatingClient
                    .goAways()
                    .get(violatingClient.goAways().size() - 1)
                    .readUint31(4);
            assertTrue(codes.contains(code), "error code " + code);
        }
        assertEquals(200, other.call("GET", "/quote").status());
        assertEquals(200, fixture.connect().call("GET", "/quote").status());
        assertTrue(fixture.log().lines().count() < 50, "a flood of 5,000 frames writes fewer than 50 log lines");
        fixture.awaitIdle();
    }

    /**
     * Clients request large responses and never open their flow-control windows. The gateway buffers a bounded part of each
     * response, other clients are not delayed, and the stalled streams are reset.
     */
    @Test
    void endsClientsThatNeverOpenWindowsWithoutDelayingOthers() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2, "clients stall=\"1500ms\"")) {
            fixture.backends()
                    .forEach(backend -> backend.onPath(
                            "/quote/large", Reaction.of(Behaviour.ANSWER).withBodyBytes(5_000_000)));
            TestClient other = fixture.connect();
            other.call("GET", "/quote");
            List<TestClient> violatingClients = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                violatingClients.add(fixture.connect().stopWindowUpdates());
                violatingClients.get(i).send("GET", "/quote/large");
            }
            other.await(() -> fixture.executions("/quote/large") == 50, "the backends execute all requests");
            long maxLatencyNanos = 0;
            for (int i = 0; i < 200; i++) {
                long startNanos = System.nanoTime();
                assertEquals(200, other.call("GET", "/quote").status());
                maxLatencyNanos = Math.max(maxLatencyNanos, System.nanoTime() - startNanos);
            }
            assertTrue(maxLatencyNanos < 1_000_000_000L, "another client waited " + maxLatencyNanos / 1e6 + " ms");
            for (TestClient violatingClient : violatingClients) {
                assertEquals(
                        ErrorCode.ENHANCE_YOUR_CALM_ERROR.code,
                        violatingClient.await(1).resetCode());
                assertTrue(violatingClient.response(1).bodyBytes() <= 65_535);
            }
            long sentBytes = fixture.backends().stream()
                    .mapToLong(TestBackend::sentBytes)
                    .sum();
            assertTrue(
                    sentBytes < 50 * 200_000L,
                    "backends sent " + sentBytes + " bytes, more than two windows per stream");
            assertTrue(fixture.log().contains("has accepted no data of a response to quote for 1500 ms"));
            fixture.awaitIdle();
        }
    }

    /** A client with maximum flow-control windows never reads from its socket: its requests end at the stall timeout. */
    @Test
    void endsClientThatNeverReads() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients stall=\"500ms\" idle=\"1s\"")) {
            fixture.backends()
                    .get(0)
                    .onPath("/quote/large", Reaction.of(Behaviour.ANSWER).withBodyBytes(2_000_000));
            try (Socket unreadSocket = new Socket(
                    InetAddress.getLoopbackAddress(), fixture.gateway().port())) {
                FrameConnection frames = new FrameConnection(unreadSocket);
                frames.sendBytes(FrameConnection.preface());
                frames.sendSettings(4, 100 << 20); // a stream window of 100 MiB exceeds every response
                frames.sendWindowUpdate(0, 1 << 30);
                for (int stream = 1; stream < 40; stream += 2) {
                    frames.sendHeaders(
                            stream, FrameConnection.requestHead("GET", "/quote/large", HttpFields.EMPTY), true);
                }
                TestClient other = fixture.connect();
                while (fixture.executions("/quote/large") < 20
                        || fixture.gateway().activeRequests() > 0) {
                    assertEquals(200, other.call("GET", "/quote").status()); // is served meanwhile and never idle
                }
                assertEquals(200, other.call("GET", "/quote").status());
            }
        }
    }

    /** A host reads no request body: the sender waits, but other requests on the same client connection do not. */
    @Test
    void slowHostDelaysOnlyItsOwnClient() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.NO_WINDOW));
            TestClient client = fixture.connect();
            int upload = client.sendHeaders("POST", "/assign", false);
            client.sendData(upload, 16_384, false);
            client.sendData(upload, 16_384, false);
            client.sendData(upload, 16_384, false);
            for (int i = 0; i < 50; i++) {
                assertEquals(200, client.call("GET", "/quote").status());
            }
            assertEquals(504, client.await(upload).status());
        }
    }

    /** A client opens streams and resets them at once, which is cheap for the client but costly for hosts (CVE-2023-44487). */
    @Test
    void endsRapidReset() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients frames-per-second=100")) {
            assertEndsViolatorAlone(fixture, Set.of(ErrorCode.ENHANCE_YOUR_CALM_ERROR.code), client -> {
                for (int i = 0; i < 5000; i++) {
                    client.frames().sendReset(client.send("POST", "/assign"), 8);
                }
            });
            assertTrue(
                    fixture.executions("/assign") < 1000,
                    "executions of reset requests: " + fixture.executions("/assign"));
        }
    }

    @Test
    void endsFloodOfSettingsPingsOrEmptyData() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients frames-per-second=100")) {
            assertEndsViolatorAlone(fixture, Set.of(ErrorCode.ENHANCE_YOUR_CALM_ERROR.code), client -> {
                for (int i = 0; i < 5000; i++) {
                    client.frames().sendSettings(4, 65_535);
                }
            });
            assertEndsViolatorAlone(fixture, Set.of(ErrorCode.ENHANCE_YOUR_CALM_ERROR.code), client -> {
                for (int i = 0; i < 5000; i++) {
                    client.frames().sendFrame(Frame.PING, 0, 0, new byte[8]);
                }
            });
            assertEndsViolatorAlone(fixture, Set.of(ErrorCode.ENHANCE_YOUR_CALM_ERROR.code), client -> {
                int stream = client.sendHeaders("POST", "/quote", false);
                for (int i = 0; i < 5000; i++) {
                    client.sendData(stream, 0, false);
                }
            });
        }
    }

    @Test
    void endsFloodOfContinuationsAndTooLargeHeaders() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertEndsViolatorAlone(
                    fixture, Set.of(ErrorCode.ENHANCE_YOUR_CALM_ERROR.code, ErrorCode.PROTOCOL_ERROR.code), client -> {
                        byte[] block =
                                client.frames().encode(FrameConnection.requestHead("GET", "/quote", HttpFields.EMPTY));
                        client.frames().sendFrame(Frame.HEADERS, Frame.END_STREAM, 1, block);
                        for (int i = 0; i < 5000; i++) {
                            client.frames().sendFrame(Frame.CONTINUATION, 0, 1, new byte[1000]);
                        }
                    });
            TestClient client = fixture.connect();
            int tooLarge = client.send("GET", "/quote", "x-long", "x".repeat(40_000));
            client.await(
                    () -> client.isClosed() || client.response(tooLarge).hasEnded(),
                    "the request with too large headers is refused");
            assertTrue(client.isClosed()
                    || client.response(tooLarge).isReset()
                    || client.response(tooLarge).status() == 431);
            assertEquals(200, fixture.connect().call("GET", "/quote").status());
            assertEquals(0, fixture.backends().get(0).bodyBytes("/quote"));
        }
    }

    /**
     * A client accepts fewer bytes of headers than a response has. Guards against a connection that stays open while none of
     * its requests is answered.
     */
    @Test
    void endsConnectionOfClientThatAcceptsNoHeaders() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
            assertEndsViolatorAlone(fixture, Set.of(ErrorCode.COMPRESSION_ERROR.code), client -> {
                client.frames().sendSettings(Frame.MAX_HEADER_LIST_SIZE, 10);
                client.send("POST", "/assign");
                client.send("GET", "/quote");
            });
            assertEndsViolatorAlone(fixture, Set.of(ErrorCode.COMPRESSION_ERROR.code), client -> {
                client.frames().sendSettings(Frame.MAX_HEADER_LIST_SIZE, 10);
                client.send("GET", "/no-route");
            });
        }
    }

    @Test
    void rejectsWindowsThatOverflowOrDoNotGrow() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(ErrorCode.FLOW_CONTROL_ERROR.code),
                    client -> client.frames().sendWindowUpdate(0, Integer.MAX_VALUE));
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(ErrorCode.PROTOCOL_ERROR.code),
                    client -> client.frames().sendWindowUpdate(0, 0));
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
            TestClient client = fixture.connect();
            int overflowing = client.send("POST", "/assign");
            int zeroIncrement = client.send("POST", "/assign");
            client.frames().sendWindowUpdate(overflowing, Integer.MAX_VALUE);
            assertEquals(
                    ErrorCode.FLOW_CONTROL_ERROR.code, client.await(overflowing).resetCode());
            client.frames().sendWindowUpdate(zeroIncrement, 0);
            assertEquals(
                    ErrorCode.PROTOCOL_ERROR.code, client.await(zeroIncrement).resetCode());
            assertEquals(200, client.call("GET", "/quote").status());
        }
    }

    @Test
    void refusesStreamsOverLimitAsNotProcessed() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients streams=10")) {
            fixture.backends()
                    .get(0)
                    .onPath("/assign", Reaction.of(Behaviour.ANSWER).withDelayMs(500));
            TestClient client = fixture.connect();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                streams.add(client.send("POST", "/assign"));
            }
            int refused = 0;
            for (int stream : streams) {
                refused += client.await(stream).resetCode() == ErrorCode.REFUSED_STREAM_ERROR.code ? 1 : 0;
            }
            assertEquals(20, refused);
            assertEquals(10, fixture.executions("/assign"));
        }
    }

    @Test
    void rejectsFramesOfStreamsThatAreNotOpen() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(ErrorCode.PROTOCOL_ERROR.code, ErrorCode.STREAM_CLOSED_ERROR.code),
                    client -> client.sendData(77, 10, true)); // stream 77 is idle
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(ErrorCode.PROTOCOL_ERROR.code, ErrorCode.STREAM_CLOSED_ERROR.code),
                    client -> client.frames().sendWindowUpdate(77, 10));
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(ErrorCode.PROTOCOL_ERROR.code),
                    client -> client.frames().sendFrame(Frame.DATA, 0, 0, new byte[4]));
            TestClient client = fixture.connect();
            int closedStream = client.send("GET", "/quote");
            client.await(closedStream);
            client.sendData(closedStream, 10, true); // a stream or connection error; no host executes anything
            fixture.awaitIdle();
            assertEquals(0, fixture.backends().get(0).bodyBytes("/quote"));
        }
    }

    private static String readResponse(GatewayFixture fixture, byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), fixture.gateway().port())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream input = socket.getInputStream();
            return new String(input.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void assertRejectedWith505(GatewayFixture fixture, String... lines) throws IOException {
        String request = String.join("\r\n", lines) + "\r\n\r\n";
        String answer = readResponse(fixture, request.getBytes(StandardCharsets.US_ASCII));
        assertTrue(answer.startsWith("HTTP/1.1 505 "), answer);
    }

    @Test
    void refusesConnectionsWithoutPreface() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertRejectedWith505(fixture, "GET /quote HTTP/1.1", "Host: x");
            assertRejectedWith505(
                    fixture,
                    "GET / HTTP/1.1",
                    "Host: x",
                    "Connection: Upgrade, HTTP2-Settings",
                    "Upgrade: h2c",
                    "HTTP2-Settings: AAMAAABkAAQAAP__");
            assertEquals("", readResponse(fixture, new byte[] {0x16, 3, 1, 2, 0, 1, 0, 1, (byte) 0xfc, 3, 3}));
            assertEquals(
                    "", readResponse(fixture, "PRI * HTTP/2.0\r\n\r\nXX\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
            assertEquals(
                    "", readResponse(fixture, new byte[0])); // the client sends no bytes and is closed after a second
            assertEquals("", readResponse(fixture, "PRI * HT".getBytes(StandardCharsets.US_ASCII)));
            String log = fixture.log();
            assertTrue(log.contains("is rejected because it requests the obsolete upgrade to h2c")
                    && log.contains("is rejected because it sends a TLS handshake"));
            assertEquals(200, fixture.connect().call("GET", "/quote").status());
            assertEquals(1, fixture.backends().get(0).receivedRequests());
        }
    }

    /** Silent connections exceed the connection limit: each new connection closes the oldest silent one. */
    @Test
    void closesOldestSilentConnectionsWhenConnectionLimitIsReached() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients connections=200")) {
            List<Socket> silentSockets = new ArrayList<>();
            try {
                for (int i = 0; i < 300; i++) {
                    silentSockets.add(new Socket(
                            InetAddress.getLoopbackAddress(), fixture.gateway().port()));
                }
                // the new connection replaces a silent one
                assertEquals(200, fixture.connect().call("GET", "/quote").status());
            } finally {
                for (Socket socket : silentSockets) {
                    socket.close();
                }
            }
        }
    }

    /** With the maximum number of active requests, another request gets 503 at once, so that memory stays bounded. */
    @Test
    void answersAtOnceWithoutCapacity() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients running=5")) {
            fixture.sendTableOfAllHosts(RetryPolicy.NONE);
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
            TestClient client = fixture.connect();
            for (int i = 0; i < 5; i++) {
                client.send("POST", "/assign");
            }
            client.await(() -> fixture.executions("/assign") == 5, "the backend executes five requests");
            assertEquals(503, client.call("GET", "/quote").status());
            assertTrue(fixture.log()
                    .contains("rejecting a request with 503 because no capacity is left beside 5 active requests"));
        }
    }
}
