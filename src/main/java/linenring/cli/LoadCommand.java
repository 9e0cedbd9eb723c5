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

/** {@code load}: calls an HTTP/2 port on loopback and tells latencies. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Call an HTTP/2 port on loopback at a steady rate, or so many calls at a time, and tell latencies.")
final class LoadCommand implements Callable<Integer> {
    private static final long ANSWER_WAIT_MS = 5000; // past any integration timeout in use
    private static final String LOOPBACK_PORT = "127[0-9.]+:[0-9]+";

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "IP:PORT", description = "the port, on loopback")
    private String address;

    @Option(
            names = "--call",
            paramLabel = "NAME=METHOD:PATH[:PART]",
            required = true,
            description = "a sort of call and its part of all (1)")
    private Map<String, String> calls;

    @Option(
            names = "--marked",
            split = ",",
            paramLabel = "NAME",
            defaultValue = "",
            description = "calls that carry a mark of their own in x-mark")
    private List<String> marked;

    @Option(names = "--rate", paramLabel = "N", defaultValue = "0", description = "calls a second")
    private double rate;

    @Option(
            names = "--at-a-time",
            paramLabel = "N",
            defaultValue = "1",
            description = "without a rate: how many calls run at a time (${DEFAULT-VALUE})")
    private int atATime;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "1",
            description = "over so many connections (${DEFAULT-VALUE})")
    private int connections;

    @Option(names = "--for", paramLabel = "DURATION", defaultValue = "10s", description = "how long (${DEFAULT-VALUE})")
    private String length;

    @Option(
            names = "--warm",
            paramLabel = "DURATION",
            defaultValue = "2s",
            description = "how long before that, uncounted (${DEFAULT-VALUE})")
    private String warm;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "of the mix")
    private long seed;

    @Override
    public Integer call() throws InterruptedException {
        if (!length.matches(Units.DURATION) || !warm.matches(Units.DURATION) || !address.matches(LOOPBACK_PORT)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "a duration has its unit, such as 10s, and the port is on loopback: 127.0.0.1:PORT");
        }
        try {
            System.out.print(LoadGenerator.table(LoadGenerator.run(plan())));
            return 0;
        } catch (IOException e) {
            System.err.println("linenring: " + address + ": " + e.getMessage());
            return ServeCommand.CANNOT_START;
        }
    }

    private LoadGenerator.Plan plan() {
        int colon = address.lastIndexOf(':');
        return new LoadGenerator.Plan(
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                calls.entrySet().stream()
                        .map(call -> sort(call.getKey(), call.getValue()))
                        .toList(),
                rate,
                atATime,
                connections,
                Units.millis(length) / 1000,
                Units.millis(warm) / 1000,
                ANSWER_WAIT_MS,
                seed);
    }

    private LoadGenerator.Call sort(String name, String described) {
        String[] parts = described.split(":");
        String path = parts.length > 1 ? parts[1] : "/";
        double share = parts.length > 2 ? Double.parseDouble(parts[2]) : 1;
        return new LoadGenerator.Call(name, parts[0], path, share, marked.contains(name));
    }
}
