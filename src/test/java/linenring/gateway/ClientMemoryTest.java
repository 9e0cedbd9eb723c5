package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.testserver.Behaviour;
import linenring.testserver.Frame;
import linenring.testserver.FrameConnection;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Hundreds of clients make the gateway hold as much as its limits allow, with the default settings and the JVM options of the
 * deploy file. Guards against a process that exceeds its memory, or whose threads wait for memory: another client, which is
 * connected already, is answered in time throughout.
 */
@Timeout(120)
class ClientMemoryTest {
    /** The memory limit of the platform on scored days. */
    private static final int MAX_MEMORY_KB = 192 << 10;

    /** Timeout of the operation and half a second, after which a request counts as lost. */
    private static final long MAX_ANSWER_MS = 4500;

    private static final int CLIENTS = 800;
    private static final int OBSERVED_CALLS = 60;
    private static final long CALL_INTERVAL_MS = 50;
    private static final int WINDOW_BYTES = 65_535;
    private static final int MAX_FRAME_BYTES = 16 << 10;

    /** Size of a header field in a header list beyond its name and value (RFC 9113, 6.5.2). */
    private static final int FIELD_OVERHEAD_BYTES = 32;

    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int SHORT_FIELDS = 480; // with the pseudo fields just below the limit of the headers

    @TempDir
    private Path temp;

    private final List<TestBackend> backends = new ArrayList<>();
    private final List<AutoCloseable> connections = new ArrayList<>();
    private GatewayProcess gateway;
    private TestClient other;

    @BeforeEach
    void startGateway() throws IOException {
        for (int i = 0; i < 24; i++) { // the hosts accept more requests than the gateway can hold
            TestBackend backend = new TestBackend();
            backend.onPath("/assign/upload", Reaction.of(Behaviour.NO_WINDOW));
            backend.onPath("/assign/hang", Reaction.of(Behaviour.HANG));
            backends.add(backend);
        }
        gateway = new GatewayProcess(temp, backends, "");
        other = gateway.connect();
        connections.add(other);
        assertEquals(200, other.call("GET", "/quote").status());
    }

    @AfterEach
    void endProcess() throws Exception {
        gateway.close();
        for (AutoCloseable connection : connections) {
            connection.close();
        }
        for (TestBackend backend : backends) {
            backend.close();
        }
    }

    private interface Writer {
        void write(FrameConnection frames) throws IOException;
    }

    /** Connects clients that each write something and then stop; the gateway may close a connection meanwhile. */
    private void connectClients(Writer writer) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            FrameConnection frames = new FrameConnection(new Socket(InetAddress.getLoopbackAddress(), gateway.port()));
            connections.add(frames);
            try {
                frames.sendBytes(FrameConnection.preface());
                frames.sendSettings();
                writer.write(frames);
            } catch (IOException closed) {
                assertTrue(gateway.isAlive(), gateway::logText);
            }
        }
    }

    /** Asserts that the other client's calls are answered in time, by a host or with 503, and the memory is within its limit. */
    private void assertOtherClientIsAnswered() throws Exception {
        for (int i = 0; i < OBSERVED_CALLS; i++) {
            long startNanos = System.nanoTime();
            int status = other.call("GET", "/quote").status();
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(status == 200 || status == 503, () -> "status " + status + gateway.logText());
            assertTrue(elapsedMs < MAX_ANSWER_MS, "call " + i + " took " + elapsedMs + " ms");
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
        }
        assertTrue(gateway.isAlive(), gateway::logText);
        int peakKb = gateway.peakMemoryKb();
        assertTrue(peakKb < MAX_MEMORY_KB, "peak memory " + peakKb + " kB");
    }

    /** A header block of many fields with a name of one byte and no value, as literals without indexing (RFC 7541, 6.2.2). */
    private static byte[] blockOfShortFields(String path) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        block.writeBytes(new byte[] {(byte) 0x83, (byte) 0x86, 0x04, (byte) path.length()}); // POST, http, :path
        block.writeBytes(path.getBytes(StandardCharsets.US_ASCII));
        block.writeBytes(new byte[] {0x01, 1, 'h'}); // :authority
        for (int i = 0; i < SHORT_FIELDS; i++) {
            block.writeBytes(new byte[] {0, 1, (byte) ('a' + i % 26), 0});
        }
        return block.toByteArray();
    }

    /** Each client stops half way through the headers of a request. */
    @Test
    void servesOthersWhileClientsStopWithinHeaders() throws Exception {
        byte[] half = Arrays.copyOf(blockOfShortFields("/assign"), MAX_HEADER_BYTES - FIELD_OVERHEAD_BYTES);
        connectClients(frames -> frames.sendFrame(Frame.HEADERS, 0, 1, half));
        assertOtherClientIsAnswered();
    }

    /** Each client stops half way through large requests, whose hosts read nothing. */
    @Test
    void servesOthersWhileClientsStopWithinBodies() throws Exception {
        connectClients(frames -> {
            for (int stream = 1; stream < 8; stream += 2) {
                frames.sendHeaders(
                        stream, FrameConnection.requestHead("POST", "/assign/upload", HttpFields.EMPTY), false);
                for (int sent = 0; sent < WINDOW_BYTES; sent += MAX_FRAME_BYTES) {
                    frames.sendFrame(Frame.DATA, 0, stream, new byte[Math.min(MAX_FRAME_BYTES, WINDOW_BYTES - sent)]);
                }
            }
        });
        assertOtherClientIsAnswered();
    }

    /**
     * Each client stops half way through large requests, whose hosts have read what was sent. The other client is answered by a
     * host again before its own requests time out, and then each time.
     */
    @Test
    void answersOthersFromHostsWhileClientsStopWithinBodies() throws Exception {
        connectClients(frames -> {
            for (int stream = 1; stream < 8; stream += 2) {
                frames.sendHeaders(
                        stream, FrameConnection.requestHead("POST", "/assign/hang", HttpFields.EMPTY), false);
                frames.sendFrame(Frame.DATA, 0, stream, new byte[MAX_FRAME_BYTES]);
            }
        });
        long startNanos = System.nanoTime();
        while (other.call("GET", "/quote").status() != 200) {
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(elapsedMs < MAX_ANSWER_MS, "the first answer of a host came after " + elapsedMs + " ms");
        for (int i = 0; i < OBSERVED_CALLS; i++) {
            assertEquals(200, other.call("GET", "/quote").status(), gateway::logText);
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MS);
        }
    }

    /** Each client sends requests with very many short header fields, which hosts do not answer. */
    @Test
    void servesOthersWhileClientsSendManyShortFields() throws Exception {
        byte[] block = blockOfShortFields("/assign/hang");
        connectClients(frames -> {
            for (int stream = 1; stream < 24; stream += 2) {
                frames.sendFrame(Frame.HEADERS, Frame.END_HEADERS | Frame.END_STREAM, stream, block);
            }
        });
        assertOtherClientIsAnswered();
    }
}
