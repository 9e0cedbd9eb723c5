package linenring.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The {@code node} subcommand: runs test backends that answer, fail or hang, as set by the options, until it is killed. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description =
                "Run test backends on loopback, for manual tests of a gateway. They serve HTTP/2 with prior knowledge.")
final class TestBackendCommand implements Callable<Integer> {
    private static final int MAX_STREAMS_PER_BACKEND = 1000;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--port",
            paramLabel = "PORT",
            required = true,
            split = ",",
            description = "port to listen on; each port of a list gets its own backend")
    private List<Integer> ports;

    @Option(
            names = "--fault",
            paramLabel = "BEHAVIOUR",
            defaultValue = "ANSWER",
            description = "how the backend responds to each request: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Behaviour behaviour;

    @Option(
            names = "--path",
            paramLabel = "PATH",
            defaultValue = "/",
            description =
                    "path prefix of the requests that --fault applies to; other requests are answered (${DEFAULT-VALUE})")
    private String path;

    @Option(
            names = "--after",
            paramLabel = "DURATION",
            defaultValue = "0ms",
            description = "delay before the response or fault, such as 150ms (${DEFAULT-VALUE})")
    private String delay;

    @Option(
            names = "--bytes",
            paramLabel = "COUNT",
            defaultValue = "2",
            description = "size of a response body, in bytes (${DEFAULT-VALUE})")
    private int answerBytes;

    @Override
    public Integer call() throws InterruptedException {
        Durations.requireDuration(spec, "--after", delay, "150ms");
        List<TestBackend> backends = new ArrayList<>();
        for (int port : ports) {
            try {
                backends.add(openBackend(port));
            } catch (IOException failure) {
                ProgramOutput.printError("cannot listen at 127.0.0.1:" + port + ": " + failure.getMessage());
                return ExitCode.CANNOT_START;
            }
        }
        Map<TestBackend, Integer> lastCounts = new HashMap<>();
        while (true) { // until the process is killed
            TimeUnit.SECONDS.sleep(1);
            backends.forEach(backend -> report(backend, lastCounts));
        }
    }

    private TestBackend openBackend(int port) throws IOException {
        TestBackend backend = new TestBackend(port).withMaxStreams(MAX_STREAMS_PER_BACKEND);
        backend.onPath(
                path,
                Reaction.of(behaviour)
                        .withDelayMs(Durations.milliseconds(delay))
                        .withBodyBytes(answerBytes));
        System.out.println(
                "test backend at 127.0.0.1:" + port + ": " + behaviour.name().toLowerCase(Locale.ROOT));
        return backend;
    }

    private static void report(TestBackend backend, Map<TestBackend, Integer> lastCounts) {
        int requests = backend.receivedRequests();
        Integer previousCount = lastCounts.put(backend, requests);
        if (requests > (previousCount == null ? 0 : previousCount)) {
            System.out.println(
                    backend.address() + " executed " + backend.executionsByPath() + " of " + requests + " requests");
        }
    }
}
