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
import linenring.testserver.LoadClient;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A release is upgraded while clients call: no call may be lost, none run twice, and a new process that hangs or dies must
 * not take the service with it. Real processes on loopback.
 */
@Timeout(120)
class UpgradeUnderLoadTest {
    private static final Pattern STARTED = Pattern.compile("starts process (\\d+)");

    @TempDir
    private Path temp;

    private final List<TestBackend> backends = new ArrayList<>();
    private Process process;
    private Path log;
    private Path directory;
    private int port;

    @BeforeEach
    void startBackends() throws IOException {
        for (int i = 0; i < 2; i++) {
            backends.add(new TestBackend());
            backends.get(i).onPath("/assign", Reaction.of(Behaviour.ANSWER).after(30));
        }
        log = temp.resolve("log");
        directory = temp.resolve("handover");
    }

    @AfterEach
    void endProcesses() throws IOException, InterruptedException {
        Matcher started = STARTED.matcher(Files.readString(log));
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

    private String hosts() {
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

    /** A controller with a gateway, whose upgrades have these further settings. */
    private void serve(String settings) throws IOException {
        port = freePort();
        Path configuration =
                Files.writeString(temp.resolve("configuration.json"), """
                {"name": "n0", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d",
                 "known": {"version": 1, "full": true, "servers": [%s]},
                 "settings": {"Azs": ["a"], "Kinds": ["std"], "Classes": [{"Name": "quote", "Aim": 500000},
                   {"Name": "assign", "Aim": 500000}], "Specifics": {"ProxyCount": 1}}}
                """.formatted(freePort(), freePort(), hosts()));
        Path gateway = Files.writeString(temp.resolve("front.kdl"), """
                front {
                    listen "127.0.0.1:%d"
                    proxy id=0 zone="a"
                    operation "quote" effect="idempotent" objective="500ms" timeout="10s"
                    operation "assign" effect="side-effecting" objective="500ms" timeout="10s"
                    route "GET" "/quote" operation="quote"
                    route "POST" "/assign" operation="assign"
                    drain "10s"
                    handover dir="%s" %s
                }
                """.formatted(port, directory, settings));
        start(configuration, gateway);
        awaitLog("accepts requests at");
        LoadClient.await(this, () -> Files.exists(directory.resolve(UpgradeCoordinator.SOCKET)), "it may be upgraded");
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
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("GW_CONFIG", configuration.toString());
        process = builder.start();
    }

    private String log() {
        try {
            return Files.readString(log);
        } catch (IOException failure) {
            throw new AssertionError(failure);
        }
    }

    private void awaitLog(String part) {
        LoadClient.await(this, () -> log().contains(part), "the log says: " + part);
    }

    private ProcessHandle newest() {
        awaitLog("starts process");
        Matcher started = STARTED.matcher(log());
        String last = "";
        while (started.find()) {
            last = started.group(1);
        }
        return ProcessHandle.of(Long.parseLong(last)).orElseThrow();
    }

    private CompletableFuture<LoadGenerator.Outcomes> load(double seconds) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return LoadGenerator.run(new LoadGenerator.Plan(
                        "127.0.0.1",
                        port,
                        List.of(
                                new LoadGenerator.Call("quote", "GET", "/quote", 1, false),
                                new LoadGenerator.Call("assign", "POST", "/assign", 1, true)),
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

    private CompletableFuture<Optional<UpgradeOutcome>> upgrade() {
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

    /** All calls were answered 200, and each assign ran once. */
    private void assertNothingLost(LoadGenerator.Outcomes all) {
        long assigns = all.byOperation().get("assign").sent();
        all.byOperation()
                .forEach((name, outcome) -> assertEquals(Map.of("200", outcome.sent()), outcome.countsByEnd(), name));
        assertEquals(
                assigns,
                backends.stream()
                        .mapToInt(backend -> backend.executions("/assign"))
                        .sum());
    }

    @Test
    void losesNothingAndRunsNothingTwiceInTwoUpgradesUnderLoad() throws Exception {
        serve("probation=\"500ms\"");
        CompletableFuture<LoadGenerator.Outcomes> load = load(9);
        UpgradeOutcome first = outcome(upgrade());
        assertTrue(first.getSucceeded(), () -> first.getMessage() + log());
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the old process ends once it has drained");
        LoadClient.await(this, () -> log().contains("the port is this process's alone"), "it is the sole owner");
        UpgradeOutcome second = outcome(upgrade());
        assertTrue(second.getSucceeded(), () -> second.getMessage() + log());
        assertNothingLost(load.get(40, TimeUnit.SECONDS));
    }

    @Test
    void goesOnWhereTheNewProcessEndsAtOnceOrHangs() throws Exception {
        serve("greet=\"1s\" command=\"sh -c 'test -e " + temp.resolve("hang") + " && sleep 60; exit 7'\"");
        CompletableFuture<LoadGenerator.Outcomes> load = load(3);
        UpgradeOutcome ended = outcome(upgrade());
        assertEquals("this process goes on: the new process ended with 7", ended.getMessage());
        Files.createFile(temp.resolve("hang"));
        CompletableFuture<Optional<UpgradeOutcome>> hangs = upgrade();
        assertEquals(
                "an upgrade is under way, or this process ends",
                upgradeWhile(hangs).getMessage());
        assertEquals(
                "this process goes on: the new process did not greet in time",
                outcome(hangs).getMessage());
        assertNothingLost(load.get(40, TimeUnit.SECONDS));
        assertTrue(process.isAlive());
    }

    private UpgradeOutcome upgradeWhile(CompletableFuture<Optional<UpgradeOutcome>> other) throws Exception {
        LoadClient.await(this, () -> log().split("starts process", -1).length == 3, "the second one is started");
        assertFalse(other.isDone());
        return outcome(upgrade());
    }

    @Test
    void losesNothingWhereTheNewProcessDiesBeforeItHasThePort() throws Exception {
        serve("");
        CompletableFuture<LoadGenerator.Outcomes> load = load(5);
        CompletableFuture<Optional<UpgradeOutcome>> upgrade = upgrade();
        awaitLog("greets");
        newest().destroyForcibly();
        UpgradeOutcome ended = outcome(upgrade);
        assertEquals("this process goes on: the new process ended with 137", ended.getMessage());
        assertNothingLost(load.get(40, TimeUnit.SECONDS));
    }

    /** What ran in the process that dies is lost with it, as its connections are; nothing runs twice, service goes on. */
    @Test
    void reclaimsThePortWhereTheNewProcessDiesWithItAndRunsNothingTwice() throws Exception {
        serve("probation=\"20s\"");
        CompletableFuture<LoadGenerator.Outcomes> load = load(6);
        CompletableFuture<Optional<UpgradeOutcome>> upgrade = upgrade();
        awaitLog("has the port");
        ProcessHandle young = newest();
        TimeUnit.MILLISECONDS.sleep(300); // it is to have something under way
        young.destroyForcibly();
        UpgradeOutcome ended = outcome(upgrade);
        assertEquals("this process goes on: the new process ended with 137", ended.getMessage());
        LoadGenerator.Outcomes all = load.get(40, TimeUnit.SECONDS);
        CallOutcomes assigns = all.byOperation().get("assign");
        long lost = all.byOperation().values().stream()
                .mapToLong(outcome -> outcome.countsByEnd().getOrDefault("lost", 0L)
                        + outcome.countsByEnd().getOrDefault("unsent", 0L))
                .sum();
        assertTrue(
                lost < 60,
                () -> "of 1,200 calls " + assigns.countsByEnd()
                        + all.byOperation().get("quote").countsByEnd());
        assertTrue(backends.stream()
                        .mapToInt(backend -> backend.executions("/assign"))
                        .sum()
                <= assigns.sent());
        assertTrue(
                assigns.countsByEnd().keySet().stream().allMatch(List.of("200", "lost", "unsent")::contains),
                () -> assigns.countsByEnd().toString());
        try (LoadClient client = new LoadClient(port)) {
            assertEquals(200, client.call("GET", "/quote").status());
        }
        assertTrue(process.isAlive());
    }

    @Test
    void leavesThePortToTheNewProcessWhereTheOldOneIsKilled() throws Exception {
        serve("probation=\"4s\"");
        CompletableFuture<Optional<UpgradeOutcome>> upgrade = upgrade();
        awaitLog("has the port");
        ProcessHandle young = newest();
        process.destroyForcibly().waitFor();
        awaitLog("the port is this process's alone");
        assertEquals(Optional.empty(), upgrade.get(40, TimeUnit.SECONDS));
        try (LoadClient client = new LoadClient(port)) {
            assertEquals(200, client.call("GET", "/quote").status());
        }
        Optional<UpgradeOutcome> next = upgrade().get(40, TimeUnit.SECONDS); // it has a successor in turn
        assertTrue(young.isAlive() || next.map(UpgradeOutcome::getSucceeded).orElse(false));
    }

    @Test
    void refusesADirectoryThatOthersMayEnterAndServesWithoutUpgrades() throws Exception {
        Files.createDirectories(
                directory, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwxr-xr-x")));
        Files.createFile(directory.resolve(UpgradeCoordinator.SOCKET)); // so that serve() does not wait for one
        serve("");
        awaitLog("is not possible");
        try (LoadClient client = new LoadClient(port)) {
            assertEquals(200, client.call("GET", "/quote").status());
        }
    }
}
