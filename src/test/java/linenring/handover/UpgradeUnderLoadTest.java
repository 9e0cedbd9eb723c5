package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linenring.handover.wire.HandoverProtocol.UpgradeOutcome;
import linenring.load.CallOutcomes;
import linenring.load.LoadGenerator;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Upgrades a serving process under load: no call may be lost or run twice, and a new process that hangs or dies must not
 * interrupt the service. Uses real processes on loopback.
 */
@Timeout(120)
class UpgradeUnderLoadTest {
    private static final Pattern STARTED = Pattern.compile("starts process (\\d+)");

    @TempDir
    private Path temp;

    private final List<TestBackend> backends = new ArrayList<>();
    private Process process;
    private Path logFile;
    private Path directory;
    private String controllerAddress = "127.0.0.1";
    private String gatewayAddress = "127.0.0.1";
    private int controllerPort;
    private int port;

    @BeforeEach
    void startBackends() throws IOException {
        controllerPort = freePort();
        port = freePort();
        for (int i = 0; i < 2; i++) {
            backends.add(new TestBackend());
            backends.get(i).onPath("/assign", Reaction.of(Behaviour.ANSWER).withDelayMs(30));
        }
        logFile = temp.resolve("log");
        directory = temp.resolve("handover");
    }

    @AfterEach
    void endProcesses() throws IOException, InterruptedException {
        Matcher started = STARTED.matcher(Files.readString(logFile));
        while (started.find()) {
            ProcessHandle.of(Long.parseLong(started.group(1))).ifPresent(ProcessHandle::destroyForcibly);
        }
        process.destroyForcibly().waitFor();
        for (TestBackend backend : backends) {
            backend.close();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private String hostsJson() {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < backends.size(); i++) {
            hosts.append(i > 0 ? "," : "")
                    .append("{\"id\":\"s-")
                    .append(i)
                    .append("\",\"addr\":\"")
                    .append(backends.get(i).address())
                    .append("\",\"zone\":\"a\",\"kind\":\"std\",\"state\":\"Ready\",\"weight\":1}");
        }
        return hosts.toString();
    }

    /** Starts a controller with a gateway; {@code settings} are added to the handover settings. */
    private void serve(String settings) throws IOException {
        Path configuration = Files.writeString(temp.resolve("configuration.json"), """
                {"name": "n0", "listen": "%s:%d", "discovery": "127.0.0.1:%d",
                 "known": {"version": 1, "full": true, "servers": [%s]},
                 "settings": {"Azs": ["a"], "Kinds": ["std"], "Classes": [{"Name": "quote", "Aim": 500000},
                   {"Name": "assign", "Aim": 500000}], "Specifics": {"ProxyCount": 1}}}
                """.formatted(
                        controllerAddress, controllerPort, freePort(), hostsJson()));
        Path gateway =
                Files.writeString(temp.resolve("front.kdl"), """
                front {
                    listen "%s:%d"
                    proxy id=0 zone="a"
                    operation "quote" effect="idempotent" objective="500ms" timeout="10s"
                    operation "assign" effect="side-effecting" objective="500ms" timeout="10s"
                    route "GET" "/quote" operation="quote"
                    route "POST" "/assign" operation="assign"
                    drain "10s"
                    handover dir="%s" %s
                }
                """.formatted(gatewayAddress, port, directory, settings));
        start(configuration, gateway);
        awaitLog("accepts requests at");
        TestClient.await(
                this,
                () -> Files.exists(directory.resolve(UpgradeCoordinator.SOCKET_FILE_NAME)),
                "the upgrade socket exists");
    }

    private void start(Path configuration, Path gateway) throws IOException {
        List<String> command = List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx128m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "linenring.Main",
                "serve",
                "--front",
                gateway.toString());
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile());
        builder.environment().put("GW_CONFIG", configuration.toString());
        process = builder.start();
    }

    private String logText() {
        try {
            return Files.readString(logFile);
        } catch (IOException failure) {
            throw new AssertionError(failure);
        }
    }

    private void awaitLog(String part) {
        TestClient.await(this, () -> logText().contains(part), "the log contains: " + part);
    }

    private ProcessHandle newestProcess() {
        awaitLog("starts process");
        Matcher started = STARTED.matcher(logText());
        String lastProcessId = "";
        while (started.find()) {
            lastProcessId = started.group(1);
        }
        return ProcessHandle.of(Long.parseLong(lastProcessId)).orElseThrow();
    }

    private CompletableFuture<LoadGenerator.Outcomes> runLoad(double seconds) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return LoadGenerator.run(new LoadGenerator.Plan(
                        gatewayAddress,
                        port,
                        List.of(
                                new LoadGenerator.CallTemplate("quote", "GET", "/quote", 1, false),
                                new LoadGenerator.CallTemplate("assign", "POST", "/assign", 1, true)),
                        200,
                        1,
                        3,
                        seconds,
                        0,
                        5000,
                        1));
            } catch (IOException | InterruptedException failure) {
                throw new AssertionError(failure);
            }
        });
    }

    private CompletableFuture<Optional<UpgradeOutcome>> requestUpgrade() {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return UpgradeClient.request(directory, 30_000);
            } catch (IOException | InterruptedException failure) {
                throw new AssertionError(failure);
            }
        });
    }

    private static UpgradeOutcome outcome(CompletableFuture<Optional<UpgradeOutcome>> upgrade) throws Exception {
        return upgrade.get(40, TimeUnit.SECONDS).orElseThrow();
    }

    /** Asserts that all calls were answered with status 200, and that each assign call ran once. */
    private void assertNothingLost(LoadGenerator.Outcomes all) {
        long assigns = all.byOperation().get("assign").scheduledCalls();
        all.byOperation()
                .forEach((name, outcome) ->
                        assertEquals(Map.of("200", outcome.scheduledCalls()), outcome.countsByEnd(), name));
        assertEquals(
                assigns,
                backends.stream()
                        .mapToInt(backend -> backend.executions("/assign"))
                        .sum());
    }

    @Test
    void losesNothingAndRunsNothingTwiceInTwoUpgradesUnderLoad() throws Exception {
        serve("probation=\"500ms\"");
        CompletableFuture<LoadGenerator.Outcomes> load = runLoad(9);
        UpgradeOutcome firstOutcome = outcome(requestUpgrade());
        assertTrue(firstOutcome.getSucceeded(), () -> firstOutcome.getMessage() + logText());
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the old process did not exit after draining");
        TestClient.await(
                this,
                () -> logText().contains("this process is now the sole owner of the port"),
                "the new process is the sole owner");
        UpgradeOutcome secondOutcome = outcome(requestUpgrade());
        assertTrue(secondOutcome.getSucceeded(), () -> secondOutcome.getMessage() + logText());
        assertNothingLost(load.get(40, TimeUnit.SECONDS));
    }

    /**
     * Controller and gateway listen on one port number of two addresses. Guards against an upgrade that hands over the
     * controller's listener: it reported success, and no request was answered any more. Which of the two the kernel lists
     * first depends on the addresses.
     */
    @ParameterizedTest
    @CsvSource({"127.0.0.1, 127.0.0.2", "127.0.0.2, 127.0.0.1"})
    void losesNothingWhereControllerAndGatewayHaveOnePortNumber(String controller, String gateway) throws Exception {
        controllerAddress = controller;
        gatewayAddress = gateway;
        controllerPort = port;
        serve("probation=\"500ms\"");
        CompletableFuture<LoadGenerator.Outcomes> load = runLoad(6);
        UpgradeOutcome upgradeOutcome = outcome(requestUpgrade());
        assertTrue(upgradeOutcome.getSucceeded(), () -> upgradeOutcome.getMessage() + logText());
        assertNothingLost(load.get(40, TimeUnit.SECONDS));
        assertFalse(logText().contains("cannot listen"), this::logText);
        assertTrue(logText().contains("accepts requests at " + gateway + ":" + port), this::logText);
    }

    @Test
    void keepsServingWhereTheNewProcessExitsAtOnceOrHangs() throws Exception {
        serve("greet=\"1s\" command=\"sh -c 'test -e " + temp.resolve("hang") + " && sleep 60; exit 7'\"");
        CompletableFuture<LoadGenerator.Outcomes> load = runLoad(3);
        UpgradeOutcome failedOutcome = outcome(requestUpgrade());
        assertEquals("this process keeps serving: the new process exited with code 7", failedOutcome.getMessage());
        Files.createFile(temp.resolve("hang"));
        CompletableFuture<Optional<UpgradeOutcome>> hangingUpgrade = requestUpgrade();
        assertEquals(
                "an upgrade is already in progress, or this process is shutting down",
                requestSecondUpgrade(hangingUpgrade).getMessage());
        assertEquals(
                "this process keeps serving: the new process did not greet in time",
                outcome(hangingUpgrade).getMessage());
        assertNothingLost(load.get(40, TimeUnit.SECONDS));
        assertTrue(process.isAlive());
    }

    private UpgradeOutcome requestSecondUpgrade(CompletableFuture<Optional<UpgradeOutcome>> firstUpgrade)
            throws Exception {
        TestClient.await(
                this, () -> logText().split("starts process", -1).length == 3, "the second process is started");
        assertFalse(firstUpgrade.isDone());
        return outcome(requestUpgrade());
    }

    @Test
    void losesNothingWhereTheNewProcessDiesBeforeItHasThePort() throws Exception {
        serve("");
        CompletableFuture<LoadGenerator.Outcomes> load = runLoad(5);
        CompletableFuture<Optional<UpgradeOutcome>> upgrade = requestUpgrade();
        awaitLog("has connected");
        newestProcess().destroyForcibly();
        UpgradeOutcome failedOutcome = outcome(upgrade);
        assertEquals("this process keeps serving: the new process exited with code 137", failedOutcome.getMessage());
        assertNothingLost(load.get(40, TimeUnit.SECONDS));
    }

    /** Calls and connections of a process that dies are lost, but no call runs twice, and the old process serves again. */
    @Test
    void reclaimsThePortWhereItsNewOwnerDiesAndRunsNothingTwice() throws Exception {
        serve("probation=\"20s\"");
        CompletableFuture<LoadGenerator.Outcomes> load = runLoad(6);
        CompletableFuture<Optional<UpgradeOutcome>> upgrade = requestUpgrade();
        awaitLog("has the port");
        ProcessHandle newProcess = newestProcess();
        TimeUnit.MILLISECONDS.sleep(300); // gives the new process time to receive calls
        newProcess.destroyForcibly();
        UpgradeOutcome failedOutcome = outcome(upgrade);
        assertEquals("this process keeps serving: the new process exited with code 137", failedOutcome.getMessage());
        LoadGenerator.Outcomes all = load.get(40, TimeUnit.SECONDS);
        CallOutcomes assigns = all.byOperation().get("assign");
        long lost = all.byOperation().values().stream()
                .mapToLong(outcome -> outcome.countsByEnd().getOrDefault("lost", 0L)
                        + outcome.countsByEnd().getOrDefault("unsent", 0L))
                .sum();
        assertTrue(
                lost < 60,
                () -> "outcomes of 1,200 calls: " + assigns.countsByEnd()
                        + all.byOperation().get("quote").countsByEnd());
        assertTrue(backends.stream()
                        .mapToInt(backend -> backend.executions("/assign"))
                        .sum()
                <= assigns.scheduledCalls());
        assertTrue(
                assigns.countsByEnd().keySet().stream().allMatch(List.of("200", "lost", "unsent")::contains),
                () -> assigns.countsByEnd().toString());
        try (TestClient client = new TestClient(port)) {
            assertEquals(200, client.call("GET", "/quote").status());
        }
        assertTrue(process.isAlive());
    }

    @Test
    void leavesThePortToTheNewProcessWhereTheOldOneIsKilled() throws Exception {
        serve("probation=\"4s\"");
        CompletableFuture<Optional<UpgradeOutcome>> upgrade = requestUpgrade();
        awaitLog("has the port");
        ProcessHandle newProcess = newestProcess();
        process.destroyForcibly().waitFor();
        awaitLog("this process is now the sole owner of the port");
        assertEquals(Optional.empty(), upgrade.get(40, TimeUnit.SECONDS));
        try (TestClient client = new TestClient(port)) {
            assertEquals(200, client.call("GET", "/quote").status());
        }
        Optional<UpgradeOutcome> next =
                requestUpgrade().get(40, TimeUnit.SECONDS); // the new process can be upgraded in turn
        assertTrue(
                newProcess.isAlive() || next.map(UpgradeOutcome::getSucceeded).orElse(false));
    }

    @Test
    void refusesADirectoryThatOthersMayEnterAndServesWithoutUpgrades() throws Exception {
        Files.createDirectories(
                directory, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwxr-xr-x")));
        Files.createFile(directory.resolve(
                UpgradeCoordinator.SOCKET_FILE_NAME)); // lets serve() continue without an upgrade socket
        serve("");
        awaitLog("is not possible");
        try (TestClient client = new TestClient(port)) {
            assertEquals(200, client.call("GET", "/quote").status());
        }
    }
}
