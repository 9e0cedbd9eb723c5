package linenring.scale.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalLong;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.report.RunRecords;
import linenring.scale.report.RunReport;
import linenring.scale.settings.ScalePlan;
import linenring.scale.settings.ScalePlanReader;

/** Runs the subcommand {@code scale}: reads the settings, measures, and writes the record of the run. */
public final class ScaleCommand {
    /** The outcome of the subcommand. */
    public enum Result {
        MEASURED,
        INVALID_SETTINGS,
        RECORD_NOT_WRITTEN
    }

    /**
     * The command line arguments of the subcommand {@code scale}.
     *
     * @param seed overrides the seed of the settings
     * @param directory the directory to which the record is written
     * @param name the prefix of the names of the record's files
     * @param build the measured commit or release, as text
     * @param progress whether to report progress on standard error
     */
    public record Arguments(
            Path settings, OptionalLong seed, Path directory, String name, String build, boolean progress) {}

    private final Arguments arguments;
    private final Progress progress;
    private IOException writeFailure;

    /** Creates the subcommand with these arguments. */
    public ScaleCommand(Arguments arguments) {
        this.arguments = arguments;
        progress = arguments.progress() ? message -> System.err.println("scale: " + message) : Progress.NONE;
    }

    /** Runs the measurements; writes the record after each point and scenario, and the complete report at the end. */
    public Result run() throws InterruptedException {
        ScalePlanReader.Outcome read = ScalePlanReader.read(arguments.settings());
        if (read.plan() == null) {
            read.faults().forEach(System.err::println);
            return Result.INVALID_SETTINGS;
        }
        RunReport report = new RunReport(arguments.directory());
        ScalePlan plan =
                read.plan().withSeed(arguments.seed().orElse(read.plan().seed()));
        ScaleRun run =
                new ScaleRunner(plan, arguments.build(), progress, results -> writeRecord(report, results)).run();
        try {
            report.write(run, arguments.name());
        } catch (IOException failed) {
            writeFailure = failed;
        }
        if (writeFailure != null) {
            System.err.println("linenring: cannot write the record to " + arguments.directory() + ": " + writeFailure);
            return Result.RECORD_NOT_WRITTEN;
        }
        System.out.println(arguments.directory().resolve(arguments.name() + ".md"));
        return Result.MEASURED;
    }

    /** Rewrites the tables, fits and plots of a stored record, in the directory of the record. */
    public static Result rewriteTables(Path record) {
        try {
            String name = record.getFileName().toString().replaceFirst("\\.json$", "");
            Path directory = record.toAbsolutePath().getParent();
            RunRecords.ReadResult read = RunRecords.read(record);
            if (read.run() == null) {
                System.err.println("linenring: " + read.error());
                return Result.INVALID_SETTINGS;
            }
            new RunReport(directory).writeTables(read.run(), name);
            System.out.println(directory.resolve(name + ".md"));
            return Result.MEASURED;
        } catch (IOException failed) {
            System.err.println("linenring: cannot rewrite the tables of " + record + ": " + failed.getMessage());
            return Result.RECORD_NOT_WRITTEN;
        }
    }

    private void writeRecord(RunReport report, ScaleRun results) {
        try {
            report.writeRecord(results, arguments.name());
        } catch (IOException failed) {
            writeFailure = failed;
        }
    }
}
