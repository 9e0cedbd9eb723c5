package linenring.cli;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import linenring.kdl.Units;
import linenring.load.LoadGenerator;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code load} subcommand: calls an HTTP/2 port on loopback and reports latencies. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Call an HTTP/2 port on loopback at a constant rate, or with a fixed number of concurrent calls, and report latencies.")
final class LoadCommand implements Callable<Integer> {
    /** Timeout of one call; longer than any integration timeout in use. */
    private static final long CALL_TIMEOUT_MS = 5000;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final String LOOPBACK_PORT = "127[0-9.]+:[0-9]+";

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "IP:PORT", description = "address and port to call, on loopback")
    private String address;

    @Option(
            names = "--call",
            paramLabel = "NAME=METHOD:PATH[:WEIGHT]",
            required = true,
            description = "a type of call and its weight in the mix of calls (1)")
    private Map<String, String> calls;

    @Option(
            names = "--marked",
            split = ",",
            paramLabel = "NAME",
            defaultValue = "",
            description = "names of calls that carry a unique idempotency key in the header x-mark")
    private List<String> keyedCalls;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "0",
            description = "calls per second; without it, --at-a-time sets the concurrency")
    private double callsPerSecond;

    @Option(
            names = "--at-a-time",
            paramLabel = "N",
            defaultValue = "1",
            description = "number of concurrent calls if --rate is not set (${DEFAULT-VALUE})")
    private int concurrency;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "1",
            description = "number of connections (${DEFAULT-VALUE})")
    private int connections;

    @Option(
            names = "--for",
            paramLabel = "DURATION",
            defaultValue = "10s",
            description = "length of the measurement (${DEFAULT-VALUE})")
    private String duration;

    @Option(
            names = "--warm",
            paramLabel = "DURATION",
            defaultValue = "2s",
            description = "length of the warm-up before the measurement (${DEFAULT-VALUE})")
    private String warmUp;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "seed of the random mix of calls")
    private long seed;

    @Override
    public Integer call() throws InterruptedException {
        if (!Durations.isDuration(duration) || !Durations.isDuration(warmUp) || !address.matches(LOOPBACK_PORT)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "a duration needs a unit, such as 10s, and the address must be on loopback: 127.0.0.1:PORT");
        }
        try {
            System.out.print(LoadGenerator.formatTable(LoadGenerator.run(plan())));
            return ExitCode.SUCCESS;
        } catch (IOException failure) {
            ProgramOutput.printError(address + ": " + failure.getMessage());
            return ExitCode.CANNOT_START;
        }
    }

    private LoadGenerator.Plan plan() {
        int colon = address.lastIndexOf(':');
        return new LoadGenerator.Plan(
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                calls.entrySet().stream()
                        .map(call -> parseCall(call.getKey(), call.getValue()))
                        .toList(),
                callsPerSecond,
                concurrency,
                connections,
                Units.parseDurationMs(duration) / MILLIS_PER_SECOND,
                Units.parseDurationMs(warmUp) / MILLIS_PER_SECOND,
                CALL_TIMEOUT_MS,
                seed);
    }

    private LoadGenerator.CallTemplate parseCall(String name, String specification) {
        String[] parts = specification.split(":", 0);
        String path = parts.length > 1 ? parts[1] : "/";
        double weight = parts.length > 2 ? Double.parseDouble(parts[2]) : 1;
        return new LoadGenerator.CallTemplate(name, parts[0], path, weight, keyedCalls.contains(name));
    }
}
