package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.testserver.Behaviour;
import linenring.testserver.Frame;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http2.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests peers that send bodies in very small DATA frames while the receiver of the body does not read. Each sender keeps to its
 * flow-control windows. The setting {@code in-all} limits the memory of all bodies, small frames or large.
 */
@Timeout(60)
class SmallDataFramesTest {
    private static final int FRAME_HEADER_BYTES = 9;
    private static final int STREAM_WINDOW_BYTES = 65_535;
    private static final int FULL_FRAME_BYTES = 16 << 10;
    private static final int ONE_BYTE_SEGMENTS = 2000;
    private static final int MAX_PADDING_BYTES = 255;
    private static final int FRAMES_PER_BATCH = 50;
    private static final int STREAMS = 16;
    private static final long MAX_BODY_MEMORY_BYTES = 8 << 20;
    private static final String SETTINGS = "body in-all=\"8MiB\"\nclients stall=\"30s\"";

    /** Returns the memory of all objects that are in use. */
    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static long usedDirectBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> "direct".equals(pool.getName()))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }

    private static void assertBodyMemory(long usedBytes) {
        assertTrue(
                usedBytes < MAX_BODY_MEMORY_BYTES,
                "bodies take " + usedBytes + " bytes, more than in-all allows, " + MAX_BODY_MEMORY_BYTES);
    }

    private static byte[] oneByteFrames(int stream, int count) {
        ByteBuffer frames = ByteBuffer.allocate(count * (FRAME_HEADER_BYTES + 1));
        for (int i = 0; i < count; i++) {
            frames.putShort((short) 0)
                    .put((byte) 1)
                    .put((byte) Frame.DATA)
                    .put((byte) 0)
                    .putInt(stream)
                    .put((byte) 'x');
        }
        return frames.array();
    }

    private static GatewayFixture fixtureWithHostThatReadsNoBody() throws IOException {
        GatewayFixture fixture = new GatewayFixture(1, SETTINGS);
        fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.NO_WINDOW));
        return fixture;
    }

    private static void exhaustWindowOfHost(TestClient client) throws IOException {
        int upload = client.sendHeaders("POST", "/assign", false);
        for (int sent = 0; sent < STREAM_WINDOW_BYTES; sent += FULL_FRAME_BYTES) {
            client.sendData(upload, Math.min(FULL_FRAME_BYTES, STREAM_WINDOW_BYTES - sent), false);
        }
        assertEquals(200, client.call("GET", "/quote").status());
    }

    /** Guards against one object for each received frame, which exhausted the heap: 64 KiB in one-byte frames took 8 MiB. */
    @Test
    void limitsHeapOfUploadsInOneByteFrames() throws IOException {
        try (GatewayFixture fixture = fixtureWithHostThatReadsNoBody()) {
            TestClient client = fixture.connect();
            assertEquals(200, client.call("GET", "/quote").status());
            List<Integer> uploads = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                uploads.add(client.sendHeaders("POST", "/assign", false));
            }
            long usedBefore = usedHeapBytes();
            for (int upload : uploads) {
                client.frames().sendBytes(oneByteFrames(upload, STREAM_WINDOW_BYTES));
            }
            assertEquals(200, client.call("GET", "/quote").status()); // all frames before this request were received
            assertBodyMemory(usedHeapBytes() - usedBefore);
        }
    }

    /** Guards against a complete network buffer for each received byte, which exhausted the direct memory. */
    @Test
    void limitsDirectMemoryOfUploadsInOneByteSegments() throws IOException, InterruptedException {
        try (GatewayFixture fixture = fixtureWithHostThatReadsNoBody()) {
            TestClient client = fixture.connect();
            exhaustWindowOfHost(client);
            int upload = client.sendHeaders("POST", "/assign", false);
            long usedBefore = usedDirectBytes();
            for (int i = 0; i < ONE_BYTE_SEGMENTS; i++) {
                client.sendData(upload, 1, false);
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertEquals(200, client.call("GET", "/quote").status());
            assertBodyMemory(usedDirectBytes() - usedBefore);
        }
    }

    /** Guards against one object for each frame received from a host while the client does not read. */
    @Test
    void limitsHeapOfResponsesInOneByteFrames() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, SETTINGS)) {
            fixture.backends()
                    .get(0)
                    .onPath(
                            "/quote/small",
                            Reaction.of(Behaviour.ANSWER)
                                    .withBodyBytes(2 * STREAM_WINDOW_BYTES)
                                    .withMaxFrameBytes(1));
            TestClient client = fixture.connect();
            assertEquals(200, client.call("GET", "/quote").status());
            long usedBefore = usedHeapBytes();
            TestClient reader = fixture.connect().stopWindowUpdates();
            for (int i = 0; i < STREAMS; i++) {
                reader.send("GET", "/quote/small");
            }
            long bytesOfWindows = (long) STREAMS * STREAM_WINDOW_BYTES;
            client.await(
                    () -> fixture.backends().get(0).sentBytes() >= bytesOfWindows,
                    "the host sends as much as the windows allow");
            assertEquals(200, client.call("GET", "/quote").status());
            assertBodyMemory(usedHeapBytes() - usedBefore);
        }
    }

    /** Guards against a window that closes for good, since padding is received and never forwarded (RFC 9113, 6.9.1). */
    @Test
    void opensWindowsByPaddingOfUploads() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            TestClient client = fixture.connect();
            int upload = client.sendHeaders("POST", "/quote", false);
            byte[] payload = new byte[1 + 1 + MAX_PADDING_BYTES];
            payload[0] = (byte) MAX_PADDING_BYTES;
            for (int sent = 0; sent < 4 * STREAM_WINDOW_BYTES; sent += payload.length) {
                client.frames().sendFrame(Frame.DATA, Frame.PADDED, upload, payload);
                if (sent / payload.length % FRAMES_PER_BATCH == 0) { // the windows of the next frames are open again
                    assertEquals(200, client.call("GET", "/quote").status());
                }
            }
            client.sendData(upload, 1, true);
            assertEquals(200, client.await(upload).status());
        }
    }

    /** Guards against a session window that closes for good, since the data of ended requests is not forwarded. */
    @Test
    void opensSessionWindowByDataOfEndedUploads() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients streams=3")) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.NO_WINDOW));
            TestClient client = fixture.connect();
            exhaustWindowOfHost(client);
            for (int i = 0; i < STREAMS; i++) {
                int upload = client.sendHeaders("POST", "/assign", false);
                client.sendData(upload, FULL_FRAME_BYTES, false);
                client.sendData(upload, FULL_FRAME_BYTES, false);
                assertEquals(200, client.call("GET", "/quote").status(), "request beside upload " + i);
                client.frames().sendReset(upload, ErrorCode.CANCEL_STREAM_ERROR.code);
            }
            assertEquals(200, client.call("GET", "/quote").status());
        }
    }

    /** Guards against a session window towards a host that closes for good, since clients leave during their responses. */
    @Test
    void opensSessionWindowByDataOfAbandonedResponses() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "hosts connections=1 streams=1")) {
            fixture.backends()
                    .get(0)
                    .onPath("/quote/large", Reaction.of(Behaviour.ANSWER).withBodyBytes(4 * STREAM_WINDOW_BYTES));
            for (int i = 0; i < STREAMS; i++) {
                TestClient leaving = fixture.connect().stopWindowUpdates();
                int large = leaving.send("GET", "/quote/large");
                leaving.await(() -> leaving.response(large).bodyBytes() == STREAM_WINDOW_BYTES, "a window is filled");
                leaving.close();
                fixture.awaitIdle();
            }
            TestClient client = fixture.connect();
            assertEquals(
                    4 * STREAM_WINDOW_BYTES, client.call("GET", "/quote/large").bodyBytes());
        }
    }
}
