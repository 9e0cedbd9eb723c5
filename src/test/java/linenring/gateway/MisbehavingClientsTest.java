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
import linenring.testserver.FrameConnection;
import linenring.testserver.LoadClient;
import linenring.testserver.TestBackend;
import linenring.testserver.TestBackend.Deed;
import linenring.testserver.TestBackend.Told;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that break HTTP/2's rules or bounds (RFC 9113, 5.1, 6, 10.5): they alone are ended, others are served. */
@Timeout(60)
class MisbehavingClientsTest {
    private static final int PROTOCOL_ERROR = 1,
            FLOW_CONTROL_ERROR = 3,
            STREAM_CLOSED = 5,
            REFUSED_STREAM = 7,
            CALM = 11;

    private interface Sin {
        void by(LoadClient c) throws IOException;
    }

    /** The sinner's connection is ended with one of these codes; who came before and after it is served. */
    private static void endsAlone(GatewayFixture rig, Set<Integer> codes, Sin sin) throws IOException {
        LoadClient other = rig.caller();
        assertEquals(200, other.call("GET", "/quote").status);
        LoadClient sinner = rig.caller();
        try {
            sin.by(sinner);
        } catch (IOException e) {
            // it was ended while it was at it
        }
        sinner.until(sinner::isClosed, "the sinner is ended");
        if (!sinner.goAways().isEmpty()) { // a reset connection may lose it
            int code = sinner.goAways().get(sinner.goAways().size() - 1).figure(4);
            assertTrue(codes.contains(code), "error code " + code);
        }
        assertEquals(200, other.call("GET", "/quote").status);
        assertEquals(200, rig.caller().call("GET", "/quote").status);
        assertTrue(rig.logged.toString().lines().count() < 50, "a flood of 5,000 frames fills no log");
        LoadClient.awaiting(rig, () -> rig.front.runningNow() == 0, "nothing of it is held");
    }

    @Test
    void fiftyClientsThatIgnoreTheirWindowsHoldBackNobodyAndAreEndedAtABound() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(2, "clients stall=\"1500ms\"")) {
            rig.nodes.forEach(n -> n.always("/quote/large", Told.of(Deed.ANSWER).bytes(5_000_000)));
            LoadClient other = rig.caller();
            other.call("GET", "/quote");
            List<LoadClient> sinners = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                sinners.add(rig.caller().ignoringWindows());
                sinners.get(i).send("GET", "/quote/large");
            }
            other.until(() -> rig.ran("/quote/large") == 50, "all are at nodes");
            long worst = 0;
            for (int i = 0; i < 200; i++) {
                long from = System.nanoTime();
                assertEquals(200, other.call("GET", "/quote").status);
                worst = Math.max(worst, System.nanoTime() - from);
            }
            assertTrue(worst < 1_000_000_000L, "others waited " + worst / 1e6 + " ms");
            for (LoadClient s : sinners) {
                assertEquals(CALM, s.await(1).reset);
                assertTrue(s.answer(1).bytes <= 65_535);
            }
            long sent = rig.nodes.stream().mapToLong(TestBackend::sentBytes).sum();
            assertTrue(sent < 50 * 200_000L, "nodes sent " + sent + " bytes, two windows a stream at most");
            assertTrue(rig.logged.toString().contains("takes nothing of an answer to quote for 1500 ms"));
            LoadClient.awaiting(this, () -> rig.front.runningNow() == 0, "none is left");
        }
    }

    @Test
    void aClientThatReadsNothingFromItsSocketIsEndedAtItsBounds() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1, "clients stall=\"500ms\" idle=\"1s\"")) {
            rig.nodes.get(0).always("/quote/large", Told.of(Deed.ANSWER).bytes(2_000_000));
            try (Socket deaf = new Socket(InetAddress.getByName("127.0.0.1"), rig.front.port())) {
                FrameConnection link = new FrameConnection(deaf);
                link.raw(FrameConnection.PREFACE);
                link.settings(4, 100 << 20); // every stream's window is wide open
                link.window(0, 1 << 30);
                for (int s = 1; s < 40; s += 2) {
                    link.headers(s, FrameConnection.request("GET", "/quote/large", HttpFields.EMPTY), true);
                }
                LoadClient other = rig.caller();
                other.until(() -> rig.ran("/quote/large") == 20, "all are at the node");
                other.until(() -> rig.front.runningNow() == 0, "they are ended");
                assertEquals(200, other.call("GET", "/quote").status);
            }
        }
    }

    @Test
    void aSlowHostSlowsItsClientAndNobodyElse() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            rig.nodes.get(0).always("/assign", Told.of(Deed.NO_WINDOW));
            LoadClient c = rig.caller();
            int upload = c.begin("POST", "/assign", false);
            c.body(upload, 16_384, false);
            c.body(upload, 16_384, false);
            c.body(upload, 16_384, false);
            for (int i = 0; i < 50; i++) {
                assertEquals(200, c.call("GET", "/quote").status);
            }
            assertEquals(504, c.await(upload).status);
        }
    }

    @Test
    void aRapidResetIsEndedAndRunsLittle() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1, "clients frames-per-second=100")) {
            endsAlone(rig, Set.of(CALM), c -> {
                for (int i = 0; i < 5000; i++) {
                    c.link.reset(c.send("POST", "/assign"), 8);
                }
            });
            assertTrue(rig.ran("/assign") < 1000, "ran " + rig.ran("/assign"));
        }
    }

    @Test
    void aFloodOfSettingsPingsOrEmptyDataIsEnded() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1, "clients frames-per-second=100")) {
            endsAlone(rig, Set.of(CALM), c -> {
                for (int i = 0; i < 5000; i++) {
                    c.link.settings(4, 65_535);
                }
            });
            endsAlone(rig, Set.of(CALM), c -> {
                for (int i = 0; i < 5000; i++) {
                    c.link.write(FrameConnection.PING, 0, 0, new byte[8]);
                }
            });
            endsAlone(rig, Set.of(CALM), c -> {
                int s = c.begin("POST", "/quote", false);
                for (int i = 0; i < 5000; i++) {
                    c.body(s, 0, false);
                }
            });
        }
    }

    @Test
    void aFloodOfContinuationsAndHeadsPastTheBoundAreEnded() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            endsAlone(rig, Set.of(CALM, PROTOCOL_ERROR), c -> {
                byte[] block = c.link.block(FrameConnection.request("GET", "/quote", HttpFields.EMPTY));
                c.link.write(FrameConnection.HEADERS, FrameConnection.END_STREAM, 1, block);
                for (int i = 0; i < 5000; i++) {
                    c.link.write(FrameConnection.CONTINUATION, 0, 1, new byte[1000]);
                }
            });
            LoadClient c = rig.caller();
            int s = c.send("GET", "/quote", "x-long", "x".repeat(40_000));
            c.until(() -> c.isClosed() || c.answer(s).isOver(), "it is refused");
            assertTrue(c.isClosed() || c.answer(s).reset >= 0 || c.answer(s).status == 431);
            assertEquals(200, rig.caller().call("GET", "/quote").status);
            assertEquals(0, rig.nodes.get(0).bodyBytes("/quote"));
        }
    }

    @Test
    void windowsThatOverflowOrDoNotGrowAreErrors() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            endsAlone(rig, Set.of(FLOW_CONTROL_ERROR), c -> c.link.window(0, Integer.MAX_VALUE));
            endsAlone(rig, Set.of(PROTOCOL_ERROR), c -> c.link.window(0, 0));
            rig.nodes.get(0).always("/assign", Told.of(Deed.HANG));
            LoadClient c = rig.caller();
            int over = c.send("POST", "/assign"), zero = c.send("POST", "/assign");
            c.link.window(over, Integer.MAX_VALUE);
            assertEquals(FLOW_CONTROL_ERROR, c.await(over).reset);
            c.link.window(zero, 0);
            assertEquals(PROTOCOL_ERROR, c.await(zero).reset);
            assertEquals(200, c.call("GET", "/quote").status);
        }
    }

    @Test
    void streamsPastTheLimitAreRefusedAsNotProcessed() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1, "clients streams=10")) {
            rig.nodes.get(0).always("/assign", Told.of(Deed.ANSWER).after(500));
            LoadClient c = rig.caller();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                streams.add(c.send("POST", "/assign"));
            }
            int refused = 0;
            for (int s : streams) {
                refused += c.await(s).reset == REFUSED_STREAM ? 1 : 0;
            }
            assertEquals(20, refused);
            assertEquals(10, rig.ran("/assign"));
        }
    }

    @Test
    void framesWhereNoStreamIsOpenAreErrors() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            endsAlone(rig, Set.of(PROTOCOL_ERROR, STREAM_CLOSED), c -> c.body(77, 10, true)); // idle
            endsAlone(rig, Set.of(PROTOCOL_ERROR, STREAM_CLOSED), c -> c.link.window(77, 10));
            endsAlone(rig, Set.of(PROTOCOL_ERROR), c -> c.link.write(FrameConnection.DATA, 0, 0, new byte[4]));
            LoadClient c = rig.caller();
            int done = c.send("GET", "/quote");
            c.await(done);
            c.body(done, 10, true); // closed: an error of the stream or of the connection, and no run
            LoadClient.awaiting(this, () -> rig.front.runningNow() == 0, "none is left");
            assertEquals(0, rig.nodes.get(0).bodyBytes("/quote"));
        }
    }

    private static String said(GatewayFixture rig, byte[] words) throws IOException {
        try (Socket s = new Socket(InetAddress.getByName("127.0.0.1"), rig.front.port())) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write(words);
            s.getOutputStream().flush();
            InputStream in = s.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    void whoDoesNotBeginWithThePrefaceIsRefusedInWordsOrClosed() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            assertTrue(said(rig, "GET /quote HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 505 "));
            assertTrue(said(
                            rig,
                            ("GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                                            + "HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 505 "));
            assertEquals("", said(rig, new byte[] {0x16, 3, 1, 2, 0, 1, 0, 1, (byte) 0xfc, 3, 3}));
            assertEquals("", said(rig, "PRI * HTTP/2.0\r\n\r\nXX\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
            assertEquals("", said(rig, new byte[0])); // nothing, for a second
            assertEquals("", said(rig, "PRI * HT".getBytes(StandardCharsets.US_ASCII)));
            String log = rig.logged.toString();
            assertTrue(log.contains("asks for the obsolete upgrade to h2c: refused")
                    && log.contains("speaks TLS: refused"));
            assertEquals(200, rig.caller().call("GET", "/quote").status);
            assertEquals(1, rig.nodes.get(0).arrived());
        }
    }

    @Test
    void aThousandConnectionsThatSayNothingLeaveRoomForOthers() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1, "clients connections=200")) {
            List<Socket> silent = new ArrayList<>();
            try {
                for (int i = 0; i < 300; i++) {
                    silent.add(new Socket(InetAddress.getByName("127.0.0.1"), rig.front.port()));
                }
                assertEquals(200, rig.caller().call("GET", "/quote").status); // once the silent ones are closed
            } finally {
                for (Socket s : silent) {
                    s.close();
                }
            }
        }
    }

    @Test
    void noRoomForOneMoreIsSaidAtOnce() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1, "clients running=5")) {
            rig.all(RetryPolicy.NONE);
            rig.nodes.get(0).always("/assign", Told.of(Deed.HANG));
            LoadClient c = rig.caller();
            for (int i = 0; i < 5; i++) {
                c.send("POST", "/assign");
            }
            c.until(() -> rig.ran("/assign") == 5, "five run");
            assertEquals(503, c.call("GET", "/quote").status);
            assertTrue(rig.logged.toString().contains("no room for one more invocation beside 5: 503"));
        }
    }
}
