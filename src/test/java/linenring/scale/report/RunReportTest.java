package linenring.scale.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.awt.image.BufferedImage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import javax.imageio.ImageIO;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.ScenarioOutcome;
import linenring.scale.measurement.Usage;
import linenring.scale.measurement.Variable;
import linenring.scale.measurement.Workload;
import linenring.scale.report.fit.FitOutcome;
import linenring.scale.report.fit.Shape;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RunReportTest {
    private static final Workload BASE = new Workload(64, 64, 8, 4, 3, 2, 0.5, 20, 0);
    private static final double[] SIZES = {64, 256, 1024, 4096, 16_384, 32_768};
    private static final double FATAL_SIZE = 73_000;

    @TempDir
    private Path directory;

    @BeforeAll
    static void headless() {
        System.setProperty("java.awt.headless", "true");
    }

    /** Returns a sweep with 50 MB of resident memory and 600 bytes for each host, no heap values, and a controller failure at the largest size. */
    private static MeasuredSweep sweep() {
        List<Point> points = new ArrayList<>();
        for (double size : SIZES) {
            Map<String, Double> threads = Map.of("steward", 4e-6 * size, "compiler", 0.0001, "timer", 0.0002);
            Usage real = new Usage(0.01 + 4e-6 * size, 50e6 + 600 * size, Double.NaN, 1200, 300, 20, 2, threads);
            Usage simulated = new Usage(0.005 + 4e-6 * size, Double.NaN, 1e6 + 550 * size, 1200, 300, 20, 2, Map.of());
            points.add(new Point(size, BASE.withSize(Variable.CATALOGUE_HOSTS, size), real, simulated, null));
        }
        points.add(new Point(
                FATAL_SIZE,
                BASE.withSize(Variable.CATALOGUE_HOSTS, FATAL_SIZE),
                null,
                null,
                "exit code 3 | out of memory"));
        return new MeasuredSweep(Variable.CATALOGUE_HOSTS, BASE, points);
    }

    private static ScaleRun run() {
        ScenarioOutcome zoneLost = new ScenarioOutcome(
                Scenario.ZONE_LOST_AND_BACK,
                BASE,
                new Usage(0.2, 52e6, Double.NaN, 0, 0, 0, 0, Map.of()),
                null,
                42,
                1.25,
                90_000,
                12_000,
                0.9,
                null);
        return new ScaleRun(
                "abc1234", "2026-12-02T05:00:00Z", 7, 8, "test machine", 2, 1.5, List.of(sweep()), List.of(zoneLost));
    }

    @Test
    void readsARecordAsItWasWritten() throws IOException {
        new RunReport(directory).writeRecord(run(), "r");
        RunRecords.ReadResult read = RunRecords.read(directory.resolve("r.json"));
        assertNull(read.error());
        assertEquals(run(), read.run());
        assertEquals(List.of("r.json"), names());
    }

    @Test
    void rejectsARecordWithAMissingKey() {
        String recordWithMissingKey = RunRecords.write(run()).replaceFirst("\"residentBytes\" : [0-9.E]+,", "");
        RunRecords.ReadResult read = RunRecords.read("r.json", recordWithMissingKey);
        assertNull(read.run());
        assertTrue(read.error().startsWith("r.json:"), read.error());
        assertTrue(read.error().contains("residentBytes"), read.error());
    }

    @Test
    void reportsAMissingRecordInOneLine() {
        assertEquals(
                "/no/such.json: cannot be read",
                RunRecords.read(Path.of("/no/such.json")).error());
    }

    @Test
    void leavesAFailedPointOutOfTheFitAndShowsItInTheTable() {
        SweepAnalysis analysis = SweepAnalysis.of(sweep());
        SweepAnalysis.FittedMetric resident = fitted(analysis, Side.REAL, Metric.RESIDENT);
        FitOutcome.Fitted found = assertInstanceOf(FitOutcome.Fitted.class, resident.outcome());
        assertEquals(Shape.LINEAR, found.fit().shape());
        assertEquals(32_768, found.heldOut().size());
        assertEquals(0, found.heldOut().error(), 1e-6);
        assertEquals(50 + 600 * FATAL_SIZE / 1e6, found.fit().predict(FATAL_SIZE), 1e-6);
        String page = new MarkdownReport(run(), List.of(analysis)).page("r");
        assertTrue(page.contains("| 73,000 |  |  |  |  |  |  |  |  | exit code 3 \\| out of memory |\n"), page);
    }

    @Test
    void fitsNoMetricWithoutMeasuredValues() {
        SweepAnalysis analysis = SweepAnalysis.of(sweep());
        assertTrue(analysis.fits().stream()
                .noneMatch(fitted -> fitted.side() == Side.REAL && fitted.metric() == Metric.HEAP));
        assertNotNull(fitted(analysis, Side.SIMULATED, Metric.HEAP));
    }

    @Test
    void reportsThatASweepHasTooFewSizes() {
        MeasuredSweep sweepWithFewSizes =
                new MeasuredSweep(Variable.PROXIES, BASE, sweep().points().subList(0, 3));
        String page = new MarkdownReport(run(), List.of(SweepAnalysis.of(sweepWithFewSizes))).page("r");
        assertTrue(page.contains("\nNot fitted: real processor, % of a core: 3 sizes, 5 are needed; "), page);
        assertTrue(!page.contains("| metric | shape |"), page);
    }

    @Test
    void showsPointsFitsAndScenarios() {
        String page = new MarkdownReport(run(), List.of(SweepAnalysis.of(sweep()))).page("r");
        assertTrue(page.contains("Build abc1234, begun 2026-12-02T05:00:00Z, seed 7, 8 cores, test machine."), page);
        assertTrue(page.contains("| 1,024 | 1.41 | 50.6 |  | 1.20 | 0.300 | 20 | 2 | 0.910; 1.56 |  |\n"), page);
        assertTrue(
                page.contains("| real resident memory, MB | linear | 50.00 + 0.0006000 n |  | 0.000 | 16,384 | 32,768 |"
                        + " 69.7 | 69.7 |"),
                page);
        assertTrue(page.contains("| 64 | 42 | 1.25 | 90 | 12 | 20 | 90 | 52 |  |\n"), page);
    }

    @Test
    void showsBusyThreadsAndTheSumOfOthers() {
        String page = new MarkdownReport(run(), List.of(SweepAnalysis.of(sweep()))).page("r");
        assertTrue(page.contains("""
                        | hosts in the catalogue | steward | other threads |
                        | --- | --- | --- |
                        | 64 | 0.026 | 0.030 |
                        """), page);
    }

    @Test
    void writesTheSameTextForEqualRuns() throws IOException {
        new RunReport(directory).writeRecord(run(), "r");
        ScaleRun rereadRun = RunRecords.read(directory.resolve("r.json")).run();
        assertEquals(RunRecords.write(run()), RunRecords.write(rereadRun));
        assertTrue(
                RunRecords.write(run())
                        .replaceAll("\\s", "")
                        .contains("\"shareByThread\":{\"compiler\":1.0E-4,\"steward\""),
                RunRecords.write(run()));
    }

    @Test
    void writesTablesWithoutTheRecord() throws IOException {
        new RunReport(directory).writeTables(run(), "r");
        assertEquals(List.of("r-1-processor.png", "r-1-resident.png", "r.md"), names());
    }

    @Test
    void writesPlotsThatCanBeRead() throws IOException {
        new RunReport(directory).write(run(), "r");
        assertEquals(List.of("r-1-processor.png", "r-1-resident.png", "r.json", "r.md"), names());
        BufferedImage plot = ImageIO.read(directory.resolve("r-1-resident.png").toFile());
        assertEquals(800, plot.getWidth());
    }

    private static SweepAnalysis.FittedMetric fitted(SweepAnalysis analysis, Side side, Metric metric) {
        return analysis.fits().stream()
                .filter(fitted -> fitted.side() == side && fitted.metric() == metric)
                .findFirst()
                .orElseThrow();
    }

    private List<String> names() throws IOException {
        try (var files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }
}
