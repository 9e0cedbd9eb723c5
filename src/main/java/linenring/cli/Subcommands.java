package linenring.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import linenring.configuration.ConfigurationException;
import linenring.configuration.ControllerConfigurationReader;
import linenring.gateway.settings.GatewaySettingsReader;
import linenring.settings.Names;
import linenring.simulator.SimulatorAdapter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The subcommands. Exit codes: 0, 2 for usage, 3 for settings at fault, 4 where it cannot start, 5 where an upgrade did not come
 * about, 6 where the host list does not fit the heap.
 */
@Command(
        name = "linenring",
        mixinStandardHelpOptions = true,
        versionProvider = Subcommands.Version.class,
        synopsisSubcommandLabel = "SUBCOMMAND",
        subcommands = {TestBackendCommand.class, UpgradeCommand.class, LoadCommand.class, ScaleSubcommand.class},
        description = "A central planner that writes the tables of plain proxies.")
public final class Subcommands implements Callable<Integer> {
    static final int NOT_UPGRADED = 5;
    private static final int USAGE = 2;

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
        return ServeCommand.run(front, log == Form.JSON);
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
        return SimulatorAdapter.run(System.in, System.out, System.err);
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
            try {
                names = ControllerConfigurationReader.read(environment).names();
            } catch (ConfigurationException failure) {
                return ServeCommand.reportFault(failure);
            }
        }
        GatewaySettingsReader.Outcome read = GatewaySettingsReader.read(file, names);
        read.faults().forEach(System.err::println);
        if (read.settings() == null) {
            return ServeCommand.CONFIGURATION;
        }
        System.out.println(file + ": no fault found"
                + (names == null ? "; the steward's names were not checked, as" + " GW_CONFIG is not set" : ""));
        return 0;
    }
}
