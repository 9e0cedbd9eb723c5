package linenring.cli;

import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import linenring.scale.run.ScaleCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code scale} subcommand: makes a scale run, or rewrites the tables of an earlier run from its record. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = {
            "Measure the resources that a controller uses as its fleet grows, in sweeps and scenarios on loopback.",
            "A real controller runs in a separate process, with the flags of deploy/balancer.toml, next to simulated controllers.",
            "The run stays within the bounds of its settings and ends by itself. docs/capacity/README.md lists the keys of the settings.",
            "Exit codes: 0 measured, 2 usage error, 3 invalid settings, 4 record cannot be written."
        })
final class ScaleSubcommand implements Callable<Integer> {
    private static final String SETTINGS_SUFFIX = "\\.kdl$";

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(
            paramLabel = "FILE",
            arity = "0..1",
            description = "settings of the run, in KDL; example/scale.kdl describes a short run")
    private Path file;

    @Option(
            names = "--from",
            paramLabel = "RECORD",
            description = "rewrite the tables, fits and plots of this record.json without measuring")
    private Path record;

    @Option(names = "--seed", paramLabel = "N", description = "seed that overrides the one in the settings")
    private Long seed;

    @Option(
            names = "--record",
            paramLabel = "DIR",
            defaultValue = ".",
            description = "directory for the record, its tables and its plots (the current directory)")
    private Path directory;

    @Option(
            names = "--name",
            paramLabel = "NAME",
            description = "prefix of the record's file names (the name of the settings file)")
    private String name;

    @Option(
            names = "--build",
            paramLabel = "TEXT",
            description = "build that is measured, such as a commit, for the record (the release)")
    private String build;

    @Option(names = "--progress", description = "report progress on standard error")
    private boolean progress;

    @Override
    public Integer call() throws InterruptedException {
        if ((file == null) == (record == null)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "scale: exactly one of FILE and --from RECORD is required");
        }
        ScaleCommand.Result result =
                record != null ? ScaleCommand.rewriteTables(record) : new ScaleCommand(arguments()).run();
        return switch (result) {
            case MEASURED -> ExitCode.SUCCESS;
            case INVALID_SETTINGS -> ExitCode.INVALID_CONFIGURATION;
            case RECORD_NOT_WRITTEN -> ExitCode.CANNOT_START;
        };
    }

    private ScaleCommand.Arguments arguments() {
        return new ScaleCommand.Arguments(
                file,
                seed == null ? OptionalLong.empty() : OptionalLong.of(seed),
                directory,
                name == null ? file.getFileName().toString().replaceFirst(SETTINGS_SUFFIX, "") : name,
                build == null ? Release.name() : build,
                progress);
    }
}
