package linenring.build;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests how the CI script handles tests that are known to fail. The script runs with a fake mvn, which records its arguments.
 * The fake mvn lets the main run and single tests named "passes" pass, does not find tests named "absent", and lets all other
 * single tests fail.
 */
class KnownRedTest {
    private static final String ENTRY = "linenring.gateway.Http2GatewayTest#resetsStream,"
            + " mvn -B test -Dtest=Http2GatewayTest seed 7, 502 in place of 504, issue 31\n";

    private static final String FAKE_MVN = """
            #!/bin/sh
            echo "$@" >> calls
            case "$*" in
              *!*|"-B test") echo "Tests run: 300, Failures: 0, Errors: 0, Skipped: 0";;
              *passes*) echo "Tests run: 1, Failures: 0, Errors: 0, Skipped: 0";;
              *absent*) echo "No tests matching pattern were executed"; exit 1;;
              *) echo "Tests run: 1, Failures: 1, Errors: 0, Skipped: 0"; exit 1;;
            esac
            """;

    @TempDir
    private Path directory;

    private String output;

    @BeforeEach
    void installScriptAndFakeMaven() throws IOException {
        Files.createDirectories(directory.resolve(".ci"));
        Files.copy(Path.of(".ci/run"), directory.resolve(".ci/run"));
        Path maven = Files.createDirectories(directory.resolve("bin")).resolve("mvn");
        Files.writeString(maven, FAKE_MVN);
        assertTrue(maven.toFile().setExecutable(true));
    }

    private int runWithoutList() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("bash", ".ci/run")
                .directory(directory.toFile())
                .redirectErrorStream(true);
        builder.environment()
                .merge("PATH", directory.resolve("bin") + ":", (path, binDirectory) -> binDirectory + path);
        Process process = builder.start();
        output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor();
    }

    private int run(String list) throws IOException, InterruptedException {
        Files.writeString(directory.resolve("KNOWN-RED.txt"), list);
        return runWithoutList();
    }

    private List<String> calls() throws IOException {
        Path calls = directory.resolve("calls");
        return Files.exists(calls) ? Files.readAllLines(calls) : List.of();
    }

    @Test
    void runsTheCompleteSuiteWithoutAList() throws Exception {
        assertEquals(0, runWithoutList(), () -> output);
        assertEquals(List.of("-B test"), calls());
    }

    @Test
    void excludesListedTestsThenRunsEachAloneAndPrintsTheList() throws Exception {
        String list = ENTRY
                + "linenring.stream.StreamServerTest#dropsIdlePeer, bin/score gtc-dispatch.toml --seed 5309,"
                + " first seen under load, then every time, issue 28\n";
        assertEquals(0, run(list), () -> output);
        assertEquals(
                List.of(
                        "-B test -Dtest=!linenring.gateway.Http2GatewayTest#resetsStream,"
                                + "!linenring.stream.StreamServerTest#dropsIdlePeer",
                        "-B test -Dtest=linenring.gateway.Http2GatewayTest#resetsStream",
                        "-B test -Dtest=linenring.stream.StreamServerTest#dropsIdlePeer"),
                calls());
        assertTrue(output.contains(list), output);
    }

    @Test
    void acceptsAListWithoutAFinalLineBreak() throws Exception {
        assertEquals(0, run(ENTRY.stripTrailing()), () -> output);
        assertEquals(2, calls().size());
    }

    @Test
    void failsIfAListedTestPasses() throws Exception {
        assertNotEquals(0, run("linenring.gateway.Http2GatewayTest#passes, mvn -B test, a 502, issue 31\n"));
        assertTrue(output.contains("passes, so take its line away"), output);
    }

    @Test
    void failsIfAListedTestDoesNotExist() throws Exception {
        assertNotEquals(0, run("linenring.gateway.Http2GatewayTest#absent, mvn -B test, a 502, issue 31\n"));
        assertTrue(output.contains("did not run"), output);
    }

    @Test
    void runsNothingIfTheListIsMalformedEmptyOrTooLong() throws Exception {
        for (String list : List.of(
                "",
                "\n",
                ENTRY + "\n",
                "\n" + ENTRY,
                distinctEntries(4),
                "Http2GatewayTest#resets, mvn -B test, a 502, issue 31\n",
                "other.Http2GatewayTest#resets, mvn -B test, a 502, issue 31\n",
                "linenring.gateway.GatewayFixture#resets, mvn -B test, a 502, issue 31\n",
                "linenring.gateway.Http2GatewayTest, mvn -B test, a 502, issue 31\n",
                "linenring.gateway.Http2GatewayTest#resets, a cause, issue 31\n",
                "linenring.gateway.Http2GatewayTest#resets, issue 31\n",
                "linenring.gateway.Http2GatewayTest#resets, , a 502, issue 31\n",
                "linenring.gateway.Http2GatewayTest#resets, mvn -B test, , issue 31\n",
                "linenring.gateway.Http2GatewayTest#resets, mvn -B test, a 502, issue\n",
                "linenring.gateway.Http2GatewayTest#resets, mvn -B test, a 502, issue 31, later\n",
                "linenring.gateway.Http2GatewayTest#resets; rm -r x, mvn -B test, a 502, issue 31\n",
                "linenring.gateway.Http2GatewayTest#*, mvn -B test, a 502, issue 31\n")) {
            assertNotEquals(0, run(list), list);
            assertFalse(Files.exists(directory.resolve("calls")), list);
        }
    }

    @Test
    void runsNothingIfATestIsListedTwice() throws Exception {
        assertNotEquals(0, run(ENTRY.repeat(2)));
        assertTrue(output.contains("names a test twice"), output);
        assertEquals(List.of(), calls());
    }

    @Test
    void acceptsTheMaximumNumberOfEntries() throws Exception {
        assertEquals(0, run(distinctEntries(3)), () -> output);
        assertEquals(4, calls().size());
    }

    private static String distinctEntries(int count) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < count; i++) {
            list.append(ENTRY.replace("resetsStream", "resetsStream" + i));
        }
        return list.toString();
    }
}
