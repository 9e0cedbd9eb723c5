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

/** {@code scale}: a scale run by its settings, or the tables of an earlier run's record again. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = {
            "Measure what a controller uses as its surroundings grow: sweeps and scenarios, on loopback.",
            "A real controller runs in a process of its own, with the flags of deploy/balancer.toml; simulated ones run beside it.",
            "It ends by itself within the bounds of its settings. docs/capacity/README.md lists the settings' keys.",
            "Exit codes: 0 measured, 2 usage, 3 settings at fault, 4 the record cannot be written."
        })
final class ScaleSubcommand implements Callable<Integer> {
    private static final String SETTINGS_SUFFIX = "\\.kdl$";

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(
            paramLabel = "FILE",
            arity = "0..1",
            description = "the settings, KDL; example/scale.kdl is a short run")
    private Path file;

    @Option(
            names = "--from",
            paramLabel = "RECORD",
            description = "measure nothing; write the tables, fits and plots of this record.json again")
    private Path record;

    @Option(names = "--seed", paramLabel = "N", description = "takes precedence over the settings' seed")
    private Long seed;

    @Option(
            names = "--record",
            paramLabel = "DIR",
            defaultValue = ".",
            description = "where the record, its tables and its plots are written (the current directory)")
    private Path directory;

    @Option(
            names = "--name",
            paramLabel = "NAME",
            description = "that the record's files begin with (the settings' file name)")
    private String name;

    @Option(
            names = "--build",
            paramLabel = "TEXT",
            description = "what is measured, such as a commit, for the record (the release)")
    private String build;

    @Option(names = "--progress", description = "report progress on standard error")
    private boolean progress;

    @Override
    public Integer call() throws InterruptedException {
        if ((file == null) == (record == null)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "scale: either the settings' FILE or --from RECORD is needed");
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
