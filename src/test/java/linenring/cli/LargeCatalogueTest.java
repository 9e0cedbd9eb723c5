package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts real processes, with the heap of the deploy file or less, on a catalogue of 73,000 hosts in 1,300 services. A
 * process must hold the hosts in its scope. If these do not fit the heap, it must end with one clear line and not with
 * an OutOfMemoryError.
 */
class LargeCatalogueTest {
    private static final int HOST_COUNT = 73_000;
    private static final int SERVICE_COUNT = 1300;
    private static final int SERVICES_IN_SCOPE = 20;
    private static final long TEST_TIMEOUT_NANOS =
            TimeUnit.SECONDS.toNanos(120); // only limits the duration of a failing test

    @TempDir
    private Path directory;

    private ServerSocket agent;
    private int port;
    private Process process;

    @BeforeEach
    void openAgentAndChoosePort() throws Exception {
        agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        agent.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(TEST_TIMEOUT_NANOS));
        try (ServerSocket probeSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = probeSocket.getLocalPort();
        }
    }

    @AfterEach
    void closeAgentAndKillProcess() throws Exception {
        agent.close();
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    private static String hostEntryJson(int host) {
        return "{\"id\":\"s-" + String.format("%08x", host * 2654435761L & 0xffffffffL) + "\",\"addr\":\"10."
                + (host >> 16)
                + "." + (host >> 8 & 255) + "." + (host & 255) + ":3000\",\"zone\":\"" + (host % 2 == 0 ? "a" : "b")
                + "\",\"kind\":\"m1\",\"cell\":" + host % 9
                + ",\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0,\"service\":\"svc-" + host % SERVICE_COUNT
                + "\"}";
    }

    private interface TextOutput {
        void write(String text) throws IOException;
    }

    private static void writeCatalogue(TextOutput out, long version) throws IOException {
        out.write("{\"version\":" + version + ",\"full\":true,\"servers\":[");
        for (int i = 0; i < HOST_COUNT; i++) {
            out.write((i > 0 ? "," : "") + hostEntryJson(i));
        }
        out.write("]}");
    }

    private static String scopeJson(int firstService) {
        List<String> services = new ArrayList<>();
        for (int i = firstService; i < firstService + SERVICES_IN_SCOPE; i++) {
            services.add("\"svc-" + i + "\"");
        }
        return "\"scope\":[" + String.join(",", services) + "],";
    }

    private void writeConfiguration(String scopeMember, boolean withKnownHosts) throws IOException {
        Path file = directory.resolve("next.json");
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            out.write("{" + scopeMember);
            if (withKnownHosts) {
                out.write("\"known\":");
                writeCatalogue(out::write, 41);
                out.write(",");
            }
            out.write(
                    "\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                            + agent.getLocalPort()
                            + "\",\"settings\":{\"Azs\":[\"a\",\"b\"],\"Kinds\":[\"m1\"],\"Quantum\":4000,"
                            + "\"Classes\":[{\"Name\":\"lookup\",\"Aim\":750000,\"Points\":2.0}],\"Specifics\":{\"ProxyCount\":6}}}");
        }
        Files.move(file, directory.resolve("configuration.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    private void start(String heap) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms24m",
                "-Xmx" + heap,
                "-Xss512k",
                "-XX:MaxMetaspaceSize=40m",
                "-XX:ReservedCodeCacheSize=24m",
                "-XX:MaxDirectMemorySize=8m",
                "-XX:-UsePerfData",
                "-XX:+ExitOnOutOfMemoryError",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                "linenring.Main",
                "serve");
        builder.environment()
                .put("GW_CONFIG", directory.resolve("configuration.json").toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile())
                .start();
    }

    private String log() throws IOException {
        return Files.readString(directory.resolve("log"));
    }

    private void awaitPong() throws Exception {
        long deadline = System.nanoTime() + TEST_TIMEOUT_NANOS;
        while (!answersPing()) {
            assertTrue(process.isAlive() && System.nanoTime() < deadline, log());
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private boolean answersPing() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream().write("{\"@type\":\"PING\"}\n".getBytes(StandardCharsets.US_ASCII));
            return "{\"@type\":\"PONG\"}"
                    .equals(new BufferedReader(
                                    new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine());
        } catch (IOException failure) {
            return false;
        }
    }

    private void awaitLog(String expectedText) throws Exception {
        long deadline = System.nanoTime() + TEST_TIMEOUT_NANOS;
        while (!log().contains(expectedText)) {
            assertTrue(
                    process.isAlive() && System.nanoTime() < deadline,
                    expectedText + " is missing from the log:\n" + log());
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private Socket acceptRequest(String request) throws Exception {
        Socket socket = agent.accept();
        socket.setSoTimeout(agent.getSoTimeout());
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals(request, reader.readLine());
        while (!reader.readLine().isEmpty()) {
            // skip the request headers
        }
        return socket;
    }

    private static void answerWithFullCatalogue(Socket socket, long version) throws IOException {
        OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
        out.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        writeCatalogue(text -> out.write(text.getBytes(StandardCharsets.US_ASCII)), version);
        out.flush();
        socket.close();
    }

    private static long hostsInScope(int firstService) {
        return IntStream.range(0, HOST_COUNT)
                .map(host -> host % SERVICE_COUNT)
                .filter(service -> service >= firstService && service < firstService + SERVICES_IN_SCOPE)
                .count();
    }

    @Test
    void startsWithScopedKnownCatalogueInSmallHeapAndReloadsAnotherScope() throws Exception {
        writeConfiguration(scopeJson(0), true);
        start("32m");
        awaitPong();
        try (Socket watch = acceptRequest("GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
            watch.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            writeConfiguration(scopeJson(100), true);
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                    .start()
                    .waitFor();
            answerWithFullCatalogue(acceptRequest("GET /catalog/members HTTP/1.1"), 42);
            awaitLog("lists " + hostsInScope(100) + " hosts in scope and " + (HOST_COUNT - hostsInScope(100))
                    + " outside");
            assertEquals(-1, watch.getInputStream().read());
        }
        acceptRequest("GET /catalog/members?watch=1&from=42 HTTP/1.1").close();
        assertTrue(answersPing());
        assertFalse(log().contains("ERROR"), log());
    }

    @Test
    void readsScopedCatalogueFromDiscoveryInSmallHeap() throws Exception {
        writeConfiguration(scopeJson(0), false);
        start("32m");
        answerWithFullCatalogue(acceptRequest("GET /catalog/members HTTP/1.1"), 41);
        awaitLog("lists " + hostsInScope(0) + " hosts in scope and " + (HOST_COUNT - hostsInScope(0)) + " outside");
        acceptRequest("GET /catalog/members?watch=1&from=41 HTTP/1.1").close();
        awaitPong();
    }

    @Test
    void holdsFullCatalogueInDeployedHeapWhenItIsSentTwice() throws Exception {
        writeConfiguration("", true);
        start("64m");
        awaitPong();
        try (Socket watch = acceptRequest("GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
            OutputStream out = watch.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            OutputStream buffered = new BufferedOutputStream(out, 64 * 1024);
            writeCatalogue(text -> buffered.write(text.getBytes(StandardCharsets.US_ASCII)), 42);
            buffered.write('\n');
            buffered.flush();
        }
        acceptRequest("GET /catalog/members?watch=1&from=42 HTTP/1.1").close();
        assertTrue(answersPing(), log());
        assertFalse(log().contains("ERROR"), log());
    }

    @Test
    void rejectsKnownCatalogueThatDoesNotFitTheHeap() throws Exception {
        writeConfiguration("", true);
        start("40m");
        assertTrue(process.waitFor(TEST_TIMEOUT_NANOS, TimeUnit.NANOSECONDS), log());
        assertEquals(ExitCode.EXCEEDS_MEMORY, process.exitValue(), log());
        assertTrue(log().matches("linenring: known lists over \\d+ hosts, which is more than fits the heap\n"), log());
    }

    @Test
    void exitsWhenCatalogueFromDiscoveryDoesNotFitTheHeap() throws Exception {
        writeConfiguration("", false);
        start("40m");
        try {
            answerWithFullCatalogue(acceptRequest("GET /catalog/members HTTP/1.1"), 41);
        } catch (IOException failure) {
            // the process closes the connection before it has read the full list
        }
        assertTrue(process.waitFor(TEST_TIMEOUT_NANOS, TimeUnit.NANOSECONDS), log());
        assertEquals(ExitCode.EXCEEDS_MEMORY, process.exitValue(), log());
        assertEquals(1, log().split("ERROR", -1).length - 1, log());
        assertTrue(log().contains("ERROR controller exiting because discovery lists over "), log());
        assertFalse(log().contains("\tat "), log());
    }
}
