package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.measurement.Variable;
import linenring.scale.measurement.Workload;
import linenring.scale.report.RunReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ScaleSubcommandTest {
    @TempDir
    private Path directory;

    @Test
    void requiresExactlyOneOfSettingsAndRecord() throws IOException {
        assertEquals(ExitCode.USAGE, RootCommand.run("scale"));
        Path file = Files.writeString(directory.resolve("a"), "");
        assertEquals(ExitCode.USAGE, RootCommand.run("scale", file.toString(), "--from", file.toString()));
    }

    @Test
    void rejectsInvalidSettingsAndRecords() throws IOException {
        Path settings = Files.writeString(directory.resolve("a.kdl"), "scale {\n    seed \"one\"\n}\n");
        assertEquals(ExitCode.INVALID_CONFIGURATION, RootCommand.run("scale", settings.toString()));
        assertEquals(
                ExitCode.INVALID_CONFIGURATION,
                RootCommand.run("scale", directory.resolve("none.kdl").toString()));
        Path record = Files.writeString(directory.resolve("a.json"), "{}");
        assertEquals(ExitCode.INVALID_CONFIGURATION, RootCommand.run("scale", "--from", record.toString()));
    }

    @Test
    void rewritesTheTablesOfARecord() throws IOException {
        Workload workload = new Workload(64, 64, 8, 4, 3, 2, 1, 20, 0);
        Point failedPoint = new Point(64, workload, null, null, "ended with exit code 3");
        MeasuredSweep sweep = new MeasuredSweep(Variable.CATALOGUE_HOSTS, workload, List.of(failedPoint));
        ScaleRun run = new ScaleRun("b1", "2026-12-02T05:00:00Z", 1, 8, "m", 3, 5, List.of(sweep), List.of());
        new RunReport(directory).writeRecord(run, "old");
        Path record = directory.resolve("old.json");
        assertEquals(ExitCode.SUCCESS, RootCommand.run("scale", "--from", record.toString()));
        assertTrue(Files.readString(directory.resolve("old.md")).contains("ended with exit code 3"));
    }
}
