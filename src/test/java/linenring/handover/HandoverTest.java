package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linenring.handover.wire.Wire;
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

/** Upgrades of real processes on loopback under a steady load, with a fault at the hand-over. */
@Timeout(120)
class HandoverTest {
    private static final Pattern STARTED = Pattern.compile("starts process (\\d+)");

    @TempDir
    Path temp;

    private final List<TestBackend> nodes = new ArrayList<>();
    private Process process;
    private Path log, dir;
    private int port;

    @BeforeEach
    void nodes() throws IOException {
        for (int h = 0; h < 2; h++) {
            nodes.add(new TestBackend());
            nodes.get(h).onPath("/assign", Reaction.of(Behaviour.ANSWER).after(30));
        }
        log = temp.resolve("log");
        dir = temp.resolve("handover");
    }

    @AfterEach
    void ends() throws IOException, InterruptedException {
        Matcher m = STARTED.matcher(Files.readString(log));
        while (m.find()) {
            ProcessHandle.of(Long.parseLong(m.group(1))).ifPresent(ProcessHandle::destroyForcibly);
        }
        process.destroyForcibly().waitFor();
        for (TestBackend n : nodes) {
            n.close();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    /** A steward with a front, whose upgrades have these further settings. */
    private void serves(String settings) throws IOException {
        port = freePort();
        StringBuilder hosts = new StringBuilder();
        for (int h = 0; h < nodes.size(); h++) {
            hosts.append(h > 0 ? "," : "")
                    .append("{\"id\":\"s-")
                    .append(h)
                    .append("\",\"addr\":\"")
                    .append(nodes.get(h).address())
                    .append("\",\"zone\":\"a\",\"kind\":\"std\",\"state\":\"Ready\",\"weight\":1}");
        }
        Path configuration =
                Files.writeString(temp.resolve("configuration.json"), """
                {"name": "story", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d",
                 "known": {"version": 1, "full": true, "servers": [%s]},
                 "settings": {"Azs": ["a"], "Kinds": ["std"], "Classes": [{"Name": "quote", "Aim": 500000},
                   {"Name": "assign", "Aim": 500000}], "Specifics": {"ProxyCount": 1}}}
                """.formatted(freePort(), freePort(), hosts));
        Path front = Files.writeString(temp.resolve("front.kdl"), """
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
                """.formatted(port, dir, settings));
        List<String> command = List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx128m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "linenring.Main",
                "serve",
                "--front",
                front.toString());
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("GW_CONFIG", configuration.toString());
        process = builder.start();
        logged("accepts requests at");
        LoadClient.await(this, () -> Files.exists(dir.resolve(Upgrades.SOCKET)), "it may be upgraded");
    }

    private String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void logged(String words) {
        LoadClient.await(this, () -> log().contains(words), "the log says: " + words);
    }

    private ProcessHandle newest() {
        logged("starts process");
        Matcher m = STARTED.matcher(log());
        String last = null;
        while (m.find()) {
            last = m.group(1);
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
            } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
            }
        });
    }

    private CompletableFuture<Wire.Ended> upgrade() {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return Upgrades.ask(dir, 30_000);
            } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** All calls were answered 200, and each assign ran once. */
    private void nothingLost(LoadGenerator.Outcomes all) {
        long assigns = all.byOperation().get("assign").sent();
        all.byOperation().forEach((name, o) -> assertEquals(java.util.Map.of("200", o.sent()), o.countsByEnd(), name));
        assertEquals(
                assigns, nodes.stream().mapToInt(n -> n.executions("/assign")).sum());
    }

    @Test
    void twoUpgradesInARowUnderLoadLoseNothingAndRunNothingTwice() throws Exception {
        serves("probation=\"500ms\"");
        CompletableFuture<LoadGenerator.Outcomes> load = load(9);
        Wire.Ended first = upgrade().get(40, TimeUnit.SECONDS);
        assertTrue(first.getWell(), () -> first.getWords() + log());
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the old process ends once it has drained");
        LoadClient.await(this, () -> log().split("the port is this process's alone").length > 1, "it is alone");
        Wire.Ended second = upgrade().get(40, TimeUnit.SECONDS);
        assertTrue(second.getWell(), () -> second.getWords() + log());
        nothingLost(load.get(40, TimeUnit.SECONDS));
    }

    @Test
    void aNewProcessThatEndsAtOnceOrHangsOrSaysNothingCostsNothing() throws Exception {
        serves("greet=\"1s\" command=\"sh -c 'test -e " + temp.resolve("hang") + " && sleep 60; exit 7'\"");
        CompletableFuture<LoadGenerator.Outcomes> load = load(3);
        Wire.Ended ended = upgrade().get(40, TimeUnit.SECONDS);
        assertEquals("this process goes on: the new process ended with 7", ended.getWords());
        Files.createFile(temp.resolve("hang"));
        CompletableFuture<Wire.Ended> hangs = upgrade();
        assertEquals(
                "an upgrade is under way, or this process ends",
                upgradeWhile(hangs).getWords());
        assertEquals(
                "this process goes on: the new process did not greet in time",
                hangs.get(40, TimeUnit.SECONDS).getWords());
        nothingLost(load.get(40, TimeUnit.SECONDS));
        assertTrue(process.isAlive());
    }

    private Wire.Ended upgradeWhile(CompletableFuture<Wire.Ended> other) throws Exception {
        LoadClient.await(this, () -> log().split("starts process").length == 3, "the second one is started");
        assertTrue(!other.isDone());
        return upgrade().get(40, TimeUnit.SECONDS);
    }

    @Test
    void aNewProcessThatDiesBeforeItHasThePortCostsNothing() throws Exception {
        serves("");
        CompletableFuture<LoadGenerator.Outcomes> load = load(5);
        CompletableFuture<Wire.Ended> upgrade = upgrade();
        logged("greets");
        newest().destroyForcibly();
        Wire.Ended ended = upgrade.get(40, TimeUnit.SECONDS);
        assertEquals("this process goes on: the new process ended with 137", ended.getWords());
        nothingLost(load.get(40, TimeUnit.SECONDS));
    }

    /** What ran in the process that dies is lost with it, as its connections are; nothing runs twice, service goes on. */
    @Test
    void aNewProcessThatDiesWithThePortGivesItBackAndNoAssignRunsTwice() throws Exception {
        serves("probation=\"20s\"");
        CompletableFuture<LoadGenerator.Outcomes> load = load(6);
        CompletableFuture<Wire.Ended> upgrade = upgrade();
        logged("has the port");
        ProcessHandle young = newest();
        TimeUnit.MILLISECONDS.sleep(300); // it is to have something under way
        young.destroyForcibly();
        Wire.Ended ended = upgrade.get(40, TimeUnit.SECONDS);
        assertEquals("this process goes on: the new process ended with 137", ended.getWords());
        LoadGenerator.Outcomes all = load.get(40, TimeUnit.SECONDS);
        CallOutcomes assigns = all.byOperation().get("assign");
        long lost = all.byOperation().values().stream()
                .mapToLong(o -> o.countsByEnd().getOrDefault("lost", 0L)
                        + o.countsByEnd().getOrDefault("unsent", 0L))
                .sum();
        assertTrue(
                lost < 60,
                () -> "of 1,200 calls " + assigns.countsByEnd()
                        + all.byOperation().get("quote").countsByEnd());
        assertTrue(nodes.stream().mapToInt(n -> n.executions("/assign")).sum() <= assigns.sent());
        assertTrue(
                assigns.countsByEnd().keySet().stream().allMatch(List.of("200", "lost", "unsent")::contains),
                () -> assigns.countsByEnd().toString());
        try (LoadClient c = new LoadClient(port)) {
            assertEquals(200, c.call("GET", "/quote").status());
        }
        assertTrue(process.isAlive());
    }

    @Test
    void whereTheOldProcessIsKilledTheNewOneOwnsAll() throws Exception {
        serves("probation=\"4s\"");
        CompletableFuture<Wire.Ended> upgrade = upgrade();
        logged("has the port");
        ProcessHandle young = newest();
        process.destroyForcibly().waitFor();
        logged("the port is this process's alone");
        assertEquals(null, upgrade.get(40, TimeUnit.SECONDS));
        try (LoadClient c = new LoadClient(port)) {
            assertEquals(200, c.call("GET", "/quote").status());
        }
        Optional<Wire.Ended> next =
                Optional.ofNullable(upgrade().get(40, TimeUnit.SECONDS)); // it has a successor in turn
        assertNotNull(next);
        assertTrue(young.isAlive() || next.map(Wire.Ended::getWell).orElse(false));
    }

    @Test
    void aDirectoryThatOthersMayEnterIsRefusedAndServiceGoesOn() throws Exception {
        Files.createDirectories(
                dir,
                java.nio.file.attribute.PosixFilePermissions.asFileAttribute(
                        java.nio.file.attribute.PosixFilePermissions.fromString("rwxr-xr-x")));
        Files.createFile(dir.resolve(Upgrades.SOCKET)); // so that the story does not wait for one
        serves("");
        logged("is not possible");
        try (LoadClient c = new LoadClient(port)) {
            assertEquals(200, c.call("GET", "/quote").status());
        }
    }
}
