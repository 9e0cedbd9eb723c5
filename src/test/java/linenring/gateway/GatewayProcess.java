package linenring.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;

/**
 * A controller with a gateway and its default settings in a process of its own, started with the JVM options of the deploy file.
 * It routes GET /quote, POST /book and POST /assign to test backends, which are alternately in zones a and b.
 */
final class GatewayProcess implements AutoCloseable {
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final Pattern JVM_OPTIONS = Pattern.compile("(?m)^run = \"exec java (.*) -jar ");
    private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s+(\\d+) kB");

    private final Process process;
    private final Path logFile;
    private final int port;

    /** Starts the process in an empty folder and waits until it accepts requests. */
    GatewayProcess(Path folder, List<TestBackend> backends, String moreSettings) throws IOException {
        logFile = folder.resolve("log");
        port = freePort();
        Path configuration = Files.writeString(
                folder.resolve("configuration.json"), """
                {"name": "n0", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d",
                 "known": {"version": 1, "full": true, "servers": [%s]},
                 "settings": {"Azs": ["a", "b"], "Kinds": ["std"], "Classes": [{"Name": "quote", "Aim": 500000},
                   {"Name": "book", "Aim": 500000}, {"Name": "assign", "Aim": 500000}],
                   "Specifics": {"ProxyCount": 1}}}
                """.formatted(freePort(), freePort(), hostsJson(backends)));
        Path gateway = Files.writeString(folder.resolve("front.kdl"), """
                front {
                    listen "127.0.0.1:%d"
                    proxy id=0 zone="a"
                    mark-header "x-mark"
                    operation "quote" effect="idempotent" objective="500ms" timeout="4s"
                    operation "book" effect="fingerprinted" group="zone" window="2.5s" objective="500ms" timeout="10s"
                    operation "assign" effect="side-effecting" objective="500ms" timeout="10s"
                    route "GET" "/quote" operation="quote"
                    route "POST" "/book" operation="book"
                    route "POST" "/assign" operation="assign"
                    %s
                }
                """.formatted(port, moreSettings));
        process = start(configuration, gateway);
        TestClient.await(this, () -> logText().contains("accepts requests at"), "the gateway accepts requests");
    }

    private Process start(Path configuration, Path gateway) throws IOException {
        Matcher options = JVM_OPTIONS.matcher(Files.readString(DEPLOY_FILE));
        if (!options.find()) {
            throw new IOException("no command line found in " + DEPLOY_FILE);
        }
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(List.of(options.group(1).split(" ", -1)));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "linenring.Main", "serve", "--front"));
        command.add(gateway.toString());
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile());
        builder.environment().put("GW_CONFIG", configuration.toString());
        return builder.start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static String hostsJson(List<TestBackend> backends) {
        return IntStream.range(0, backends.size())
                .mapToObj(host ->
                        "{\"id\":\"s-%d\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"std\",\"state\":\"Ready\",\"weight\":1}"
                                .formatted(host, backends.get(host).address(), host % 2 == 0 ? "a" : "b"))
                .collect(Collectors.joining(","));
    }

    int port() {
        return port;
    }

    TestClient connect() throws IOException {
        return new TestClient(port);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the largest resident memory of the process so far, in kB. */
    int peakMemoryKb() throws IOException {
        Matcher peak = PEAK_MEMORY.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
        if (!peak.find()) {
            throw new IOException("the kernel reports no peak memory");
        }
        return Integer.parseInt(peak.group(1));
    }

    String logText() {
        try {
            return Files.readString(logFile);
        } catch (IOException failure) {
            throw new AssertionError(failure);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
