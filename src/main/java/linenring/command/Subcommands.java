package linenring.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import linenring.configuration.Assignment;
import linenring.configuration.AssignmentReader;
import linenring.figures.Names;
import linenring.front.settings.FrontPlanReader;
import linenring.handover.Upgrades;
import linenring.handover.wire.Wire;
import linenring.kdl.Units;
import linenring.load.Load;
import linenring.scale.run.ScaleCommand;
import linenring.standin.Node;
import linenring.wirehost.WireHost;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The subcommands. Exit codes: 0, 2 for usage, 3 for settings at fault, 4 where it cannot start, 5
 * where an upgrade did not come about. */
@Command(
        name = "linenring",
        mixinStandardHelpOptions = true,
        versionProvider = Subcommands.Version.class,
        synopsisSubcommandLabel = "SUBCOMMAND",
        description = "A central planner that writes the tables of plain proxies.")
public final class Subcommands implements Callable<Integer> {
    static final int NOT_UPGRADED = 5;
    private static final int USAGE = 2;
    private static final long LOAD_WAIT_MS = 5000; // past any integration timeout in use

    @Spec
    private CommandLine.Model.CommandSpec spec;

    public static int run(String... args) {
        return new CommandLine(new Subcommands())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
    }

    /** The release, from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"linenring " + release()};
        }
    }

    static String release() {
        String version = Subcommands.class.getPackage().getImplementationVersion();
        return version == null ? "(not from a jar)" : version;
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Be a steward on sockets, as GW_CONFIG and the environment say.")
    int serve(
            @Option(
                            names = "--front",
                            paramLabel = "FILE",
                            description = "also take invocations over HTTP/2, as this file says (docs/front.md)")
                    Path front,
            @Option(
                            names = "--log",
                            paramLabel = "FORM",
                            defaultValue = "text",
                            description = "text or json: how lines are written to standard error (text)")
                    Form log) {
        return Serve.run(front, log == Form.JSON);
    }

    /** How the log is written. */
    enum Form {
        TEXT,
        JSON
    }

    @Command(
            name = "wirehost",
            mixinStandardHelpOptions = true,
            description = "Decide over the simulator's wire on standard input and output.")
    int wirehost() throws IOException {
        return WireHost.run(System.in, System.out, System.err);
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Read a front's settings, and the steward's where GW_CONFIG names them; say what is wrong.")
    int check(@Parameters(paramLabel = "FILE", description = "the front's settings") Path file) {
        return check(file, System.getenv());
    }

    static int check(Path file, Map<String, String> environment) {
        Names names = null;
        if (environment.containsKey("GW_CONFIG")) {
            Assignment.Outcome told = AssignmentReader.read(environment);
            if (told.assignment() == null) {
                System.err.println("linenring: " + told.fault());
                return told.exceedsMemory() ? Serve.EXCEEDS_MEMORY : Serve.CONFIGURATION;
            }
            names = told.assignment().names();
        }
        FrontPlanReader.Outcome read = FrontPlanReader.read(file, names);
        read.faults().forEach(System.err::println);
        if (read.plan() == null) {
            return Serve.CONFIGURATION;
        }
        System.out.println(file + ": no fault found"
                + (names == null ? "; the steward's names were not checked, as" + " GW_CONFIG is not set" : ""));
        return 0;
    }

    @Command(
            name = "node",
            mixinStandardHelpOptions = true,
            description = "Be a stand-in for a host, to try a front by hand: HTTP/2 with prior knowledge on loopback.")
    int node(
            @Option(
                            names = "--port",
                            paramLabel = "PORT",
                            required = true,
                            split = ",",
                            description = "where it listens; one node for each of several")
                    List<Integer> ports,
            @Option(
                            names = "--fault",
                            paramLabel = "DEED",
                            defaultValue = "ANSWER",
                            description =
                                    "what it does with each invocation: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
                    Node.Deed fault,
            @Option(
                            names = "--path",
                            paramLabel = "PATH",
                            defaultValue = "/",
                            description = "to those whose path begins so; others are answered (${DEFAULT-VALUE})")
                    String path,
            @Option(
                            names = "--after",
                            paramLabel = "DURATION",
                            defaultValue = "0ms",
                            description = "after how long, such as 150ms (${DEFAULT-VALUE})")
                    String after,
            @Option(
                            names = "--bytes",
                            paramLabel = "COUNT",
                            defaultValue = "2",
                            description = "of an answer's body (${DEFAULT-VALUE})")
                    int bytes)
            throws InterruptedException {
        if (!after.matches(Units.DURATION)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--after: '" + after + "' is not a duration with its unit, such as 150ms");
        }
        List<Node> nodes = new ArrayList<>();
        for (int port : ports) {
            try {
                nodes.add(new Node(port)
                        .streams(1000)
                        .always(
                                path,
                                Node.Told.of(fault)
                                        .after((long) Units.millis(after))
                                        .bytes(bytes)));
                System.out.println(
                        "node at 127.0.0.1:" + port + ": " + fault.name().toLowerCase(Locale.ROOT));
            } catch (IOException e) {
                System.err.println("linenring: cannot listen at 127.0.0.1:" + port + ": " + e.getMessage());
                return Serve.CANNOT_START;
            }
        }
        Map<Node, Integer> told = new HashMap<>();
        while (true) { // until it is ended
            TimeUnit.SECONDS.sleep(1);
            for (Node n : nodes) {
                Integer before = told.put(n, n.arrived());
                if (n.arrived() > (before == null ? 0 : before)) {
                    System.out.println(n.address() + " ran " + n.ran() + " of " + n.arrived() + " that came");
                }
            }
        }
    }

    @Command(
            name = "upgrade",
            mixinStandardHelpOptions = true,
            description = "Have the process that serves hand over to"
                    + " a new one; ends with 0 once that one serves, with 5 if the old one goes on.")
    int upgrade(
            @Parameters(paramLabel = "DIRECTORY", description = "handover's dir in the front's settings") Path dir,
            @Option(
                            names = "--wait",
                            paramLabel = "DURATION",
                            defaultValue = "2min",
                            description = "how long at most (${DEFAULT-VALUE})")
                    String wait)
            throws InterruptedException {
        if (!wait.matches(Units.DURATION)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--wait: '" + wait + "' is not a duration with its unit, such as 2min");
        }
        try {
            Wire.Ended ended = Upgrades.ask(dir, (long) Units.millis(wait));
            System.out.println(
                    ended == null
                            ? "nothing was heard of it; the log of the old process tells"
                            : (ended.getWell() ? "upgraded: " : "not upgraded: ") + ended.getWords());
            return ended != null && ended.getWell() ? 0 : NOT_UPGRADED;
        } catch (IOException e) {
            System.err.println("linenring: nobody can be upgraded at " + dir + ": " + e.getMessage());
            return Serve.CANNOT_START;
        }
    }

    @Command(
            name = "load",
            mixinStandardHelpOptions = true,
            description =
                    "Call an HTTP/2 port on loopback at a steady rate, or so many calls at a time, and tell latencies.")
    int load(
            @Parameters(paramLabel = "IP:PORT", description = "the port, on loopback") String at,
            @Option(
                            names = "--call",
                            paramLabel = "NAME=METHOD:PATH[:PART]",
                            required = true,
                            description = "a sort of call and its part of all (1)")
                    Map<String, String> calls,
            @Option(
                            names = "--marked",
                            split = ",",
                            paramLabel = "NAME",
                            defaultValue = "",
                            description = "calls that carry a mark of their own in x-mark")
                    List<String> marked,
            @Option(names = "--rate", paramLabel = "N", defaultValue = "0", description = "calls a second") double rate,
            @Option(
                            names = "--at-a-time",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "without a rate: how many calls run at a time (${DEFAULT-VALUE})")
                    int atATime,
            @Option(
                            names = "--connections",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "over so many connections (${DEFAULT-VALUE})")
                    int connections,
            @Option(
                            names = "--for",
                            paramLabel = "DURATION",
                            defaultValue = "10s",
                            description = "how long (${DEFAULT-VALUE})")
                    String length,
            @Option(
                            names = "--warm",
                            paramLabel = "DURATION",
                            defaultValue = "2s",
                            description = "how long before that, uncounted (${DEFAULT-VALUE})")
                    String warm,
            @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "of the mix") long seed)
            throws InterruptedException {
        if (!length.matches(Units.DURATION) || !warm.matches(Units.DURATION) || !at.matches("127[0-9.]+:[0-9]+")) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "a duration has its unit, such as 10s, and the port is on loopback: 127.0.0.1:PORT");
        }
        List<Load.Call> mix = new ArrayList<>();
        calls.forEach((name, told) -> {
            String[] parts = told.split(":");
            mix.add(new Load.Call(
                    name,
                    parts[0],
                    parts.length > 1 ? parts[1] : "/",
                    parts.length > 2 ? Double.parseDouble(parts[2]) : 1,
                    marked.contains(name)));
        });
        int colon = at.lastIndexOf(':');
        try {
            System.out.print(Load.table(Load.run(new Load.Plan(
                    at.substring(0, colon),
                    Integer.parseInt(at.substring(colon + 1)),
                    mix,
                    rate,
                    atATime,
                    connections,
                    Units.millis(length) / 1000,
                    Units.millis(warm) / 1000,
                    LOAD_WAIT_MS,
                    seed))));
            return 0;
        } catch (IOException e) {
            System.err.println("linenring: " + at + ": " + e.getMessage());
            return Serve.CANNOT_START;
        }
    }

    @Command(
            name = "scale",
            mixinStandardHelpOptions = true,
            description = {
                "Measure what a steward uses as its surroundings grow: sweeps and scenarios, on loopback.",
                "A real steward runs in a process of its own, with the flags of deploy/balancer.toml; hollow ones run beside it.",
                "It ends by itself within the bounds of its settings. docs/capacity/README.md tells the settings' keys.",
                "Exit codes: 0 measured, 2 usage, 3 settings at fault, 4 the record can't be written."
            })
    int scale(
            @Parameters(
                            paramLabel = "FILE",
                            arity = "0..1",
                            description = "the settings, KDL; example/scale.kdl is a short run")
                    Path file,
            @Option(
                            names = "--from",
                            paramLabel = "RECORD",
                            description = "measure nothing; write the tables, fits and plots of this record.json again")
                    Path record,
            @Option(names = "--seed", paramLabel = "N", description = "goes before the settings' seed") Long seed,
            @Option(
                            names = "--record",
                            paramLabel = "DIR",
                            defaultValue = ".",
                            description =
                                    "where the record, its tables and its plots are written (the current directory)")
                    Path directory,
            @Option(
                            names = "--name",
                            paramLabel = "NAME",
                            description = "that the record's files begin with (the settings' file name)")
                    String name,
            @Option(
                            names = "--build",
                            paramLabel = "TEXT",
                            description = "what is measured, such as a commit, for the record (the release)")
                    String build,
            @Option(names = "--progress", description = "tell on standard error how far it has come") boolean progress)
            throws InterruptedException {
        if ((file == null) == (record == null)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "scale: either the settings' FILE or --from RECORD is needed");
        }
        ScaleCommand.Ending ending = record != null
                ? ScaleCommand.again(record)
                : new ScaleCommand(new ScaleCommand.Arguments(
                                file,
                                seed == null ? OptionalLong.empty() : OptionalLong.of(seed),
                                directory,
                                name == null ? file.getFileName().toString().replaceFirst("\\.kdl$", "") : name,
                                build == null ? release() : build,
                                progress))
                        .run();
        return switch (ending) {
            case MEASURED -> 0;
            case SETTINGS_AT_FAULT -> Serve.CONFIGURATION;
            case RECORD_NOT_WRITTEN -> Serve.CANNOT_START;
        };
    }
}
