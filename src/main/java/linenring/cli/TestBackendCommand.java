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

/** {@code node}: stand-in hosts that answer, fail or hang as the options say, until the process is ended. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = "Be a stand-in for a host, to try a front by hand: HTTP/2 with prior knowledge on loopback.")
final class TestBackendCommand implements Callable<Integer> {
    private static final int STREAMS_PER_NODE = 1000;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--port",
            paramLabel = "PORT",
            required = true,
            split = ",",
            description = "where it listens; one node for each of several")
    private List<Integer> ports;

    @Option(
            names = "--fault",
            paramLabel = "DEED",
            defaultValue = "ANSWER",
            description = "what it does with each invocation: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Behaviour fault;

    @Option(
            names = "--path",
            paramLabel = "PATH",
            defaultValue = "/",
            description = "to those whose path begins so; others are answered (${DEFAULT-VALUE})")
    private String path;

    @Option(
            names = "--after",
            paramLabel = "DURATION",
            defaultValue = "0ms",
            description = "after how long, such as 150ms (${DEFAULT-VALUE})")
    private String after;

    @Option(
            names = "--bytes",
            paramLabel = "COUNT",
            defaultValue = "2",
            description = "of an answer's body (${DEFAULT-VALUE})")
    private int bytes;

    @Override
    public Integer call() throws InterruptedException {
        Durations.check(spec, "--after", after, "150ms");
        List<TestBackend> nodes = new ArrayList<>();
        for (int port : ports) {
            try {
                nodes.add(open(port));
            } catch (IOException e) {
                System.err.println("linenring: cannot listen at 127.0.0.1:" + port + ": " + e.getMessage());
                return ServeCommand.CANNOT_START;
            }
        }
        Map<TestBackend, Integer> arrivedBefore = new HashMap<>();
        while (true) { // until it is ended
            TimeUnit.SECONDS.sleep(1);
            nodes.forEach(node -> report(node, arrivedBefore));
        }
    }

    private TestBackend open(int port) throws IOException {
        TestBackend node = new TestBackend(port).withMaxStreams(STREAMS_PER_NODE);
        node.onPath(
                path, Reaction.of(fault).after(Durations.milliseconds(after)).withBytes(bytes));
        System.out.println("node at 127.0.0.1:" + port + ": " + fault.name().toLowerCase(Locale.ROOT));
        return node;
    }

    private static void report(TestBackend node, Map<TestBackend, Integer> arrivedBefore) {
        int arrived = node.requests();
        Integer before = arrivedBefore.put(node, arrived);
        if (arrived > (before == null ? 0 : before)) {
            System.out.println(node.address() + " ran " + node.executionsByPath() + " of " + arrived + " that came");
        }
    }
}
