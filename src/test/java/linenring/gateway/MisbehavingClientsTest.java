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
import linenring.testserver.LoadClient;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that break HTTP/2's rules or limits (RFC 9113, 5.1, 6, 10.5): they alone are ended, others are served. */
@Timeout(60)
class MisbehavingClientsTest {
    private static final int PROTOCOL_ERROR = 1;
    private static final int FLOW_CONTROL_ERROR = 3;
    private static final int STREAM_CLOSED = 5;
    private static final int REFUSED_STREAM = 7;
    private static final int ENHANCE_YOUR_CALM = 11;

    private interface Violation {
        void commit(LoadClient client) throws IOException;
    }

    /** The violator's connection is ended with one of these codes; who came before and after it is served. */
    private static void assertEndsViolatorAlone(GatewayFixture fixture, Set<Integer> codes, Violation violation)
            throws IOException {
        LoadClient other = fixture.connect();
        assertEquals(200, other.call("GET", "/quote").status());
        LoadClient violator = fixture.connect();
        try {
            violation.commit(violator);
        } catch (IOException failure) {
            // the connection was ended meanwhile
        }
        violator.await(violator::isClosed, "the violator is ended");
        if (!violator.goAways().isEmpty()) { // a reset connection may lose it
            int code = violator.goAways().get(violator.goAways().size() - 1).uint31(4);
            assertTrue(codes.contains(code), "error code " + code);
        }
        assertEquals(200, other.call("GET", "/quote").status());
        assertEquals(200, fixture.connect().call("GET", "/quote").status());
        assertTrue(fixture.log().lines().count() < 50, "a flood of 5,000 frames fills no log");
        fixture.awaitIdle();
    }

    /**
     * Clients ask for large answers and never take them: the gateway holds a bounded part of each, others are not
     * delayed, and the stalled ones are ended.
     */
    @Test
    void endsClientsThatNeverOpenWindowsWithoutDelayingOthers() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2, "clients stall=\"1500ms\"")) {
            fixture.backends()
                    .forEach(backend -> backend.onPath(
                            "/quote/large", Reaction.of(Behaviour.ANSWER).withBytes(5_000_000)));
            LoadClient other = fixture.connect();
            other.call("GET", "/quote");
            List<LoadClient> violators = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                violators.add(fixture.connect().ignoreWindows());
                violators.get(i).send("GET", "/quote/large");
            }
            other.await(() -> fixture.executions("/quote/large") == 50, "backends execute all");
            long worst = 0;
            for (int i = 0; i < 200; i++) {
                long from = System.nanoTime();
                assertEquals(200, other.call("GET", "/quote").status());
                worst = Math.max(worst, System.nanoTime() - from);
            }
            assertTrue(worst < 1_000_000_000L, "others waited " + worst / 1e6 + " ms");
            for (LoadClient violator : violators) {
                assertEquals(ENHANCE_YOUR_CALM, violator.await(1).resetCode());
                assertTrue(violator.answer(1).bytes() <= 65_535);
            }
            long sent = fixture.backends().stream()
                    .mapToLong(TestBackend::sentBytes)
                    .sum();
            assertTrue(sent < 50 * 200_000L, "backends sent " + sent + " bytes, two windows a stream at most");
            assertTrue(fixture.log().contains("takes nothing of an answer to quote for 1500 ms"));
            fixture.awaitIdle();
        }
    }

    /** A client allows any amount of data and reads nothing from its socket: it is ended at the limits for stalls. */
    @Test
    void endsClientThatNeverReads() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients stall=\"500ms\" idle=\"1s\"")) {
            fixture.backends()
                    .get(0)
                    .onPath("/quote/large", Reaction.of(Behaviour.ANSWER).withBytes(2_000_000));
            try (Socket deaf = new Socket(
                    InetAddress.getLoopbackAddress(), fixture.gateway().port())) {
                FrameConnection link = new FrameConnection(deaf);
                link.sendBytes(FrameConnection.preface());
                link.sendSettings(4, 100 << 20); // every stream's window is wide open
                link.sendWindowUpdate(0, 1 << 30);
                for (int stream = 1; stream < 40; stream += 2) {
                    link.sendHeaders(stream, FrameConnection.request("GET", "/quote/large", HttpFields.EMPTY), true);
                }
                LoadClient other = fixture.connect();
                other.await(() -> fixture.executions("/quote/large") == 20, "the backend executes all");
                other.await(() -> fixture.gateway().activeRequests() == 0, "they are ended");
                assertEquals(200, other.call("GET", "/quote").status());
            }
        }
    }

    /** A host takes no body: its client has to wait, others on the same connection do not. */
    @Test
    void slowHostDelaysOnlyItsOwnClient() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.NO_WINDOW));
            LoadClient client = fixture.connect();
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

    /** A client opens streams and resets them at once, which costs it nothing and its hosts much (CVE-2023-44487). */
    @Test
    void endsRapidReset() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients frames-per-second=100")) {
            assertEndsViolatorAlone(fixture, Set.of(ENHANCE_YOUR_CALM), client -> {
                for (int i = 0; i < 5000; i++) {
                    client.frames().sendReset(client.send("POST", "/assign"), 8);
                }
            });
            assertTrue(fixture.executions("/assign") < 1000, "ran " + fixture.executions("/assign"));
        }
    }

    @Test
    void endsFloodOfSettingsPingsOrEmptyData() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients frames-per-second=100")) {
            assertEndsViolatorAlone(fixture, Set.of(ENHANCE_YOUR_CALM), client -> {
                for (int i = 0; i < 5000; i++) {
                    client.frames().sendSettings(4, 65_535);
                }
            });
            assertEndsViolatorAlone(fixture, Set.of(ENHANCE_YOUR_CALM), client -> {
                for (int i = 0; i < 5000; i++) {
                    client.frames().sendFrame(Frame.PING, 0, 0, new byte[8]);
                }
            });
            assertEndsViolatorAlone(fixture, Set.of(ENHANCE_YOUR_CALM), client -> {
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
            assertEndsViolatorAlone(fixture, Set.of(ENHANCE_YOUR_CALM, PROTOCOL_ERROR), client -> {
                byte[] block = client.frames().encode(FrameConnection.request("GET", "/quote", HttpFields.EMPTY));
                client.frames().sendFrame(Frame.HEADERS, Frame.END_STREAM, 1, block);
                for (int i = 0; i < 5000; i++) {
                    client.frames().sendFrame(Frame.CONTINUATION, 0, 1, new byte[1000]);
                }
            });
            LoadClient client = fixture.connect();
            int tooLarge = client.send("GET", "/quote", "x-long", "x".repeat(40_000));
            client.await(() -> client.isClosed() || client.answer(tooLarge).isOver(), "it is refused");
            assertTrue(client.isClosed()
                    || client.answer(tooLarge).isReset()
                    || client.answer(tooLarge).status() == 431);
            assertEquals(200, fixture.connect().call("GET", "/quote").status());
            assertEquals(0, fixture.backends().get(0).bodyBytes("/quote"));
        }
    }

    @Test
    void rejectsWindowsThatOverflowOrDoNotGrow() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(FLOW_CONTROL_ERROR),
                    client -> client.frames().sendWindowUpdate(0, Integer.MAX_VALUE));
            assertEndsViolatorAlone(
                    fixture, Set.of(PROTOCOL_ERROR), client -> client.frames().sendWindowUpdate(0, 0));
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
            LoadClient client = fixture.connect();
            int over = client.send("POST", "/assign");
            int zero = client.send("POST", "/assign");
            client.frames().sendWindowUpdate(over, Integer.MAX_VALUE);
            assertEquals(FLOW_CONTROL_ERROR, client.await(over).resetCode());
            client.frames().sendWindowUpdate(zero, 0);
            assertEquals(PROTOCOL_ERROR, client.await(zero).resetCode());
            assertEquals(200, client.call("GET", "/quote").status());
        }
    }

    @Test
    void refusesStreamsOverLimitAsNotProcessed() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients streams=10")) {
            fixture.backends()
                    .get(0)
                    .onPath("/assign", Reaction.of(Behaviour.ANSWER).after(500));
            LoadClient client = fixture.connect();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                streams.add(client.send("POST", "/assign"));
            }
            int refused = 0;
            for (int stream : streams) {
                refused += client.await(stream).resetCode() == REFUSED_STREAM ? 1 : 0;
            }
            assertEquals(20, refused);
            assertEquals(10, fixture.executions("/assign"));
        }
    }

    @Test
    void rejectsFramesOfStreamsThatAreNotOpen() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertEndsViolatorAlone(
                    fixture, Set.of(PROTOCOL_ERROR, STREAM_CLOSED), client -> client.sendData(77, 10, true)); // idle
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(PROTOCOL_ERROR, STREAM_CLOSED),
                    client -> client.frames().sendWindowUpdate(77, 10));
            assertEndsViolatorAlone(
                    fixture,
                    Set.of(PROTOCOL_ERROR),
                    client -> client.frames().sendFrame(Frame.DATA, 0, 0, new byte[4]));
            LoadClient client = fixture.connect();
            int done = client.send("GET", "/quote");
            client.await(done);
            client.sendData(done, 10, true); // closed: an error of the stream or of the connection, and no run
            fixture.awaitIdle();
            assertEquals(0, fixture.backends().get(0).bodyBytes("/quote"));
        }
    }

    private static String answerTo(GatewayFixture fixture, byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), fixture.gateway().port())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream input = socket.getInputStream();
            return new String(input.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void assertRefusedInWords(GatewayFixture fixture, String... lines) throws IOException {
        String request = String.join("\r\n", lines) + "\r\n\r\n";
        String answer = answerTo(fixture, request.getBytes(StandardCharsets.US_ASCII));
        assertTrue(answer.startsWith("HTTP/1.1 505 "), answer);
    }

    @Test
    void refusesConnectionsWithoutPreface() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertRefusedInWords(fixture, "GET /quote HTTP/1.1", "Host: x");
            assertRefusedInWords(
                    fixture,
                    "GET / HTTP/1.1",
                    "Host: x",
                    "Connection: Upgrade, HTTP2-Settings",
                    "Upgrade: h2c",
                    "HTTP2-Settings: AAMAAABkAAQAAP__");
            assertEquals("", answerTo(fixture, new byte[] {0x16, 3, 1, 2, 0, 1, 0, 1, (byte) 0xfc, 3, 3}));
            assertEquals("", answerTo(fixture, "PRI * HTTP/2.0\r\n\r\nXX\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
            assertEquals("", answerTo(fixture, new byte[0])); // nothing, for a second
            assertEquals("", answerTo(fixture, "PRI * HT".getBytes(StandardCharsets.US_ASCII)));
            String log = fixture.log();
            assertTrue(log.contains("asks for the obsolete upgrade to h2c: refused")
                    && log.contains("speaks TLS: refused"));
            assertEquals(200, fixture.connect().call("GET", "/quote").status());
            assertEquals(1, fixture.backends().get(0).requests());
        }
    }

    /** More connections than allowed are opened and send nothing: the oldest silent one makes room for each new one. */
    @Test
    void leavesRoomForOthersWhenConnectionsAreSilent() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients connections=200")) {
            List<Socket> silent = new ArrayList<>();
            try {
                for (int i = 0; i < 300; i++) {
                    silent.add(new Socket(
                            InetAddress.getLoopbackAddress(), fixture.gateway().port()));
                }
                assertEquals(200, fixture.connect().call("GET", "/quote").status()); // once the silent ones are closed
            } finally {
                for (Socket socket : silent) {
                    socket.close();
                }
            }
        }
    }

    /** As many requests hang as may be active: one more is answered 503 at once, so that memory stays bounded. */
    @Test
    void answersAtOnceWithoutCapacity() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients running=5")) {
            fixture.orderAll(RetryPolicy.NONE);
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
            LoadClient client = fixture.connect();
            for (int i = 0; i < 5; i++) {
                client.send("POST", "/assign");
            }
            client.await(() -> fixture.executions("/assign") == 5, "the backend executes five");
            assertEquals(503, client.call("GET", "/quote").status());
            assertTrue(fixture.log().contains("no capacity for one more request beside 5: 503"));
        }
    }
}
