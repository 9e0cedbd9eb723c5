package linenring.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Spec;

/** The command line of the program. Each subcommand has its own class; {@link ExitCode} lists the exit codes. */
@Command(
        name = "linenring",
        mixinStandardHelpOptions = true,
        versionProvider = Release.VersionProvider.class,
        synopsisSubcommandLabel = "SUBCOMMAND",
        subcommands = {
            ServeCommand.class,
            SimulatorCommand.class,
            CheckCommand.class,
            TestBackendCommand.class,
            UpgradeCommand.class,
            LoadCommand.class,
            ScaleSubcommand.class
        },
        description = "A control plane for plain proxies: its controller computes and sends their endpoint tables.")
public final class RootCommand implements Callable<Integer> {
    @Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs the subcommand that the arguments name; returns its exit code. */
    public static int run(String... arguments) {
        return new CommandLine(new RootCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(arguments);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return ExitCode.USAGE;
    }
}
