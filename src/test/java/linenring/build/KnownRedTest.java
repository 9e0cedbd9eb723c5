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

/** What CI does with tests that are known to be red; a stand-in for mvn notes how it was called and ends as it is told. */
class KnownRedTest {
    private static final String RED = "linenring.gateway.Http2GatewayTest#aStory, the cause in words, issue 31\n";
    private static final String MVN = """
            #!/bin/sh
            echo "$@" >> calls
            case "$*" in
              *!*|"-B test") echo "Tests run: 300, Failures: 0, Errors: 0, Skipped: 0";;
              *green*) echo "Tests run: 1, Failures: 0, Errors: 0, Skipped: 0";;
              *absent*) echo "No tests matching pattern were executed"; exit 1;;
              *) echo "Tests run: 1, Failures: 1, Errors: 0, Skipped: 0"; exit 1;;
            esac
            """;

    @TempDir
    Path dir;

    private String said;

    @BeforeEach
    void lay() throws IOException {
        Files.createDirectories(dir.resolve(".ci"));
        Files.copy(Path.of(".ci/run"), dir.resolve(".ci/run"));
        Path mvn = Files.writeString(Files.createDirectories(dir.resolve("bin")).resolve("mvn"), MVN);
        assertTrue(mvn.toFile().setExecutable(true));
    }

    private int run(String list) throws IOException, InterruptedException {
        if (list != null) {
            Files.writeString(dir.resolve("KNOWN-RED.txt"), list);
        }
        ProcessBuilder ci =
                new ProcessBuilder("bash", ".ci/run").directory(dir.toFile()).redirectErrorStream(true);
        ci.environment().merge("PATH", dir.resolve("bin") + ":", (path, ours) -> ours + path);
        Process process = ci.start();
        said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor();
    }

    private List<String> calls() throws IOException {
        Path calls = dir.resolve("calls");
        return Files.exists(calls) ? Files.readAllLines(calls) : List.of();
    }

    @Test
    void withNoListItIsReadmesCommandAlone() throws Exception {
        assertEquals(0, run(null), () -> said);
        assertEquals(List.of("-B test"), calls());
    }

    @Test
    void listedTestsAreLeftOutRunApartAndPrinted() throws Exception {
        String two = RED + "linenring.stream.OtherTest#another, also a cause, with a comma, issue 28\n";
        assertEquals(0, run(two), () -> said);
        assertEquals(
                List.of(
                        "-B test -Dtest=!linenring.gateway.Http2GatewayTest#aStory,!linenring.stream.OtherTest#another",
                        "-B test -Dtest=linenring.gateway.Http2GatewayTest#aStory",
                        "-B test -Dtest=linenring.stream.OtherTest#another"),
                calls());
        assertTrue(said.contains(two), said);
    }

    @Test
    void aListedTestThatPassesFailsTheRun() throws Exception {
        assertNotEquals(0, run("linenring.gateway.Http2GatewayTest#green, a cause, issue 31\n"));
        assertTrue(said.contains("passes, so take its line away"), said);
    }

    @Test
    void aListedTestThatIsNotThereFailsTheRun() throws Exception {
        assertNotEquals(0, run("linenring.gateway.Http2GatewayTest#absent, a cause, issue 31\n"));
        assertTrue(said.contains("did not run"), said);
    }

    @Test
    void aMalformedLineMoreThanThreeOrNoneRunNothing() throws Exception {
        for (String list : List.of(
                "",
                "\n",
                RED + "\n",
                RED.repeat(4),
                "FrontTest, a cause, issue 31\n",
                "a.FrontTest#b, issue 31\n",
                "a.FrontTest#b, , issue 31\n",
                "a.FrontTest#b, a cause, issue\n",
                "a.FrontTest#b; rm -r x, a cause, issue 31\n",
                "a.FrontTest#*, a cause, issue 31\n")) {
            assertNotEquals(0, run(list), list);
            assertFalse(Files.exists(dir.resolve("calls")), list);
        }
    }
}
