package linenring.scale.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalLong;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.report.RunRecords;
import linenring.scale.report.RunReport;
import linenring.scale.settings.ScalePlan;
import linenring.scale.settings.ScalePlanReader;

/** The sub-command {@code scale}: reads the settings, measures, and writes the record. */
public final class ScaleCommand {
    /** What came of it. */
    public enum Shutdown {
        MEASURED,
        SETTINGS_AT_FAULT,
        RECORD_NOT_WRITTEN
    }

    /**
     * What it is told.
     *
     * @param seed goes before the settings' where it is there
     * @param name that the record's files begin with
     * @param build what is measured, in words
     */
    public record Arguments(
            Path settings, OptionalLong seed, Path directory, String name, String build, boolean progress) {}

    private final Arguments arguments;
    private final Progress progress;
    private IOException notWritten;

    public ScaleCommand(Arguments arguments) {
        this.arguments = arguments;
        progress = arguments.progress() ? words -> System.err.println("scale: " + words) : Progress.NONE;
    }

    public Shutdown run() throws InterruptedException {
        ScalePlanReader.Outcome read = ScalePlanReader.read(arguments.settings());
        if (read.plan() == null) {
            read.faults().forEach(System.err::println);
            return Shutdown.SETTINGS_AT_FAULT;
        }
        RunReport report = new RunReport(arguments.directory());
        ScalePlan plan =
                read.plan().withSeed(arguments.seed().orElse(read.plan().seed()));
        ScaleRun run = new ScaleRunner(plan, arguments.build(), progress, soFar -> writeRecord(report, soFar)).run();
        try {
            report.write(run, arguments.name());
        } catch (IOException e) {
            notWritten = e;
        }
        if (notWritten != null) {
            System.err.println(
                    "linenring: the record can't be written to " + arguments.directory() + ": " + notWritten);
            return Shutdown.RECORD_NOT_WRITTEN;
        }
        System.out.println(arguments.directory().resolve(arguments.name() + ".md"));
        return Shutdown.MEASURED;
    }

    /** Writes the tables, fits and plots of a record again, beside it. */
    public static Shutdown again(Path record) {
        try {
            String name = record.getFileName().toString().replaceFirst("\\.json$", "");
            Path directory = record.toAbsolutePath().getParent();
            RunRecords.Outcome read = RunRecords.read(record);
            if (read.run() == null) {
                System.err.println("linenring: " + read.fault());
                return Shutdown.SETTINGS_AT_FAULT;
            }
            new RunReport(directory).writeTables(read.run(), name);
            System.out.println(directory.resolve(name + ".md"));
            return Shutdown.MEASURED;
        } catch (IOException e) {
            System.err.println("linenring: " + record + " can't be read or written again: " + e.getMessage());
            return Shutdown.RECORD_NOT_WRITTEN;
        }
    }

    private void writeRecord(RunReport report, ScaleRun soFar) {
        try {
            report.writeRecord(soFar, arguments.name());
        } catch (IOException e) {
            notWritten = e;
        }
    }
}
