package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * SIGTERM comes while connections wait that the kernel has accepted and the process has not. Their peers must notice at once and
 * connect elsewhere, and not wait for a process that is gone. On loopback.
 */
@Timeout(60)
class TerminationTest {
    private static final int CLIENTS = 20;
    private static final int WAIT_MS = 10_000;
    private static final String SUBSCRIBE =
            "{\"@type\":\"SUBSCRIBE\",\"id\":%d,\"site\":\"a\",\"rps\":1,\"new\":true}\n";
    private static final int TERMINATED = 128 + 15;

    @TempDir
    private Path directory;

    private Process process;
    private int port;

    @BeforeEach
    void start() throws Exception {
        port = freePort();
        Path configuration =
                Files.writeString(directory.resolve("configuration.json"), """
                {"name": "n0", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d",
                 "known": {"version": 1, "full": true, "servers": [
                   {"id": "s-0", "zone": "a", "kind": "std", "state": "Ready", "weight": 1}]},
                 "settings": {"Azs": ["a"], "Kinds": ["std"], "Classes": [{"Name": "quote", "Aim": 500000}],
                   "Specifics": {"ProxyCount": 40}}}
                """.formatted(port, freePort()));
        ProcessBuilder builder = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "linenring.Main",
                        "serve")
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile());
        builder.environment().put("GW_CONFIG", configuration.toString());
        process = builder.start();
        while (!isServing()) {
            assertTrue(process.isAlive(), "it runs");
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @AfterEach
    void end() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private boolean isServing() {
        try (Socket socket = connect()) {
            write(socket, "{\"@type\":\"PING\"}\n");
            return socket.getInputStream().read() == '{';
        } catch (IOException failure) {
            return false;
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(WAIT_MS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** The process is stopped while they connect, so that it accepts none of them before the signal. */
    @Test
    void endsConnectionsThatTheKernelAloneHasAcceptedAndThoseThatAreServed() throws Exception {
        List<Socket> clients = new ArrayList<>();
        Socket served = connect();
        write(served, SUBSCRIBE.formatted(0));
        assertEquals('{', served.getInputStream().read(), "it gets its table");
        clients.add(served);
        signal("STOP");
        for (int id = 1; id < CLIENTS; id++) {
            Socket socket = connect();
            if (id % 2 == 0) { // the others have said nothing yet
                write(socket, SUBSCRIBE.formatted(id));
            }
            clients.add(socket);
        }
        signal("TERM");
        signal("CONT");
        for (Socket client : clients) {
            assertEnds(client);
        }
        assertTrue(process.waitFor(WAIT_MS, TimeUnit.MILLISECONDS), "the process has ended");
        assertEquals(TERMINATED, process.exitValue());
    }

    /** Whatever is read before, it ends: by its peer's end, or reset. */
    private static void assertEnds(Socket client) throws IOException {
        try (client) {
            while (client.getInputStream().read() >= 0) {
                // an update that was on its way
            }
        } catch (SocketTimeoutException failure) {
            throw new AssertionError("a client does not notice the end", failure);
        } catch (IOException failure) {
            // reset, which is an end as well
        }
    }
}
