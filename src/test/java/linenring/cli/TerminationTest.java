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
 * SIGTERM arrives while connections are pending that the kernel has accepted and the process has not. The clients of
 * these connections must see the connection end at once, so that they connect elsewhere and do not wait for a process
 * that has ended. Uses a real process on loopback.
 */
@Timeout(60)
class TerminationTest {
    private static final int CLIENTS = 20;
    private static final int WAIT_MS = 10_000;
    private static final String SUBSCRIBE =
            "{\"@type\":\"SUBSCRIBE\",\"id\":%d,\"site\":\"a\",\"rps\":1,\"new\":true}\n";
    private static final int EXIT_CODE_AT_SIGTERM = 128 + 15;

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
            assertTrue(process.isAlive(), "the process ended before it answered a PING");
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @AfterEach
    void killProcess() throws InterruptedException {
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

    private void sendSignal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /**
     * The process is suspended while the clients connect, so that it accepts none of their connections before the
     * SIGTERM.
     */
    @Test
    void endsPendingAndServedConnectionsAtSigterm() throws Exception {
        List<Socket> clients = new ArrayList<>();
        Socket servedClient = connect();
        write(servedClient, SUBSCRIBE.formatted(0));
        assertEquals('{', servedClient.getInputStream().read(), "the served client receives its endpoint table");
        clients.add(servedClient);
        sendSignal("STOP");
        for (int id = 1; id < CLIENTS; id++) {
            Socket socket = connect();
            if (id % 2 == 0) { // clients with an odd id have sent nothing when the process ends
                write(socket, SUBSCRIBE.formatted(id));
            }
            clients.add(socket);
        }
        sendSignal("TERM");
        sendSignal("CONT");
        for (Socket client : clients) {
            assertConnectionEnds(client);
        }
        assertTrue(process.waitFor(WAIT_MS, TimeUnit.MILLISECONDS), "the process did not end after SIGTERM");
        assertEquals(EXIT_CODE_AT_SIGTERM, process.exitValue());
    }

    /** Asserts that the connection ends, by end of stream or by a reset, after any data that was already sent. */
    private static void assertConnectionEnds(Socket client) throws IOException {
        try (client) {
            while (client.getInputStream().read() >= 0) {
                // skip updates that were sent before the end
            }
        } catch (SocketTimeoutException failure) {
            throw new AssertionError("a client's connection did not end in time", failure);
        } catch (IOException failure) {
            // a reset also ends the connection
        }
    }
}
