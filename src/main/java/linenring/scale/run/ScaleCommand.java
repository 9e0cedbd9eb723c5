package linenring.scale.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalLong;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.report.RunRecords;
import linenring.scale.report.RunReport;
import linenring.scale.settings.ScalePlan;
import linenring.scale.settings.ScalePlanReader;

/** The subcommand {@code scale}: reads the settings, measures, and writes the record. */
public final class ScaleCommand {
    /** How it ended. */
    public enum Result {
        MEASURED,
        INVALID_SETTINGS,
        RECORD_NOT_WRITTEN
    }

    /**
     * The arguments of the command line.
     *
     * @param seed overrides the settings' seed
     * @param directory where the record is written
     * @param name the prefix of the record's files
     * @param build what is measured, as text
     * @param progress whether to report progress on standard error
     */
    public record Arguments(
            Path settings, OptionalLong seed, Path directory, String name, String build, boolean progress) {}

    private final Arguments arguments;
    private final Progress progress;
    private IOException writeFailure;

    /** A run with these arguments. */
    public ScaleCommand(Arguments arguments) {
        this.arguments = arguments;
        progress = arguments.progress() ? message -> System.err.println("scale: " + message) : Progress.NONE;
    }

    /** Measures and writes the record, also after each point. */
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
            System.err.println(
                    "linenring: the record can't be written to " + arguments.directory() + ": " + writeFailure);
            return Result.RECORD_NOT_WRITTEN;
        }
        System.out.println(arguments.directory().resolve(arguments.name() + ".md"));
        return Result.MEASURED;
    }

    /** Writes the tables, fits and plots of a record again, beside it. */
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
            System.err.println("linenring: " + record + " can't be read or written again: " + failed.getMessage());
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
