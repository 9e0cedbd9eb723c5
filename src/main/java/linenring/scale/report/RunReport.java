package linenring.scale.report;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import linenring.scale.measurement.ScaleRun;

/** Writes the files of a run to a directory: {@code NAME.json}, {@code NAME.md} and {@code NAME-SWEEP-METRIC.png}. */
public final class RunReport {
    private static final List<Metric> PLOTTED_METRICS = List.of(Metric.PROCESSOR, Metric.RESIDENT, Metric.HEAP);

    private final Path directory;

    /** Creates a report for this directory, which is created on the first write. */
    public RunReport(Path directory) {
        this.directory = directory;
    }

    /** Writes the record, the tables and the plots of a run. */
    public void write(ScaleRun run, String name) throws IOException {
        writeRecord(run, name);
        writeTables(run, name);
    }

    /** Writes only the tables and plots of a run whose record already exists. */
    public void writeTables(ScaleRun run, String name) throws IOException {
        Files.createDirectories(directory);
        List<SweepAnalysis> analyses =
                run.sweeps().stream().map(SweepAnalysis::of).toList();
        Files.writeString(directory.resolve(name + ".md"), new MarkdownReport(run, analyses).page(name));
        for (int i = 0; i < analyses.size(); i++) {
            plot(analyses.get(i), name + "-" + (i + 1));
        }
    }

    /** Writes only the record. The file is replaced atomically, so that a reader never sees an incomplete record during a run. */
    public void writeRecord(ScaleRun run, String name) throws IOException {
        Files.createDirectories(directory);
        Path written = Files.writeString(directory.resolve(name + ".json.part"), RunRecords.write(run));
        Files.move(written, directory.resolve(name + ".json"), StandardCopyOption.REPLACE_EXISTING);
    }

    private void plot(SweepAnalysis analysis, String prefix) throws IOException {
        for (SweepAnalysis.FittedMetric fitted : analysis.fits()) {
            if (fitted.side() == Side.REAL && PLOTTED_METRICS.contains(fitted.metric())) {
                Path file = directory.resolve(prefix + "-" + fitted.metric().fileName() + ".png");
                try (OutputStream plot = Files.newOutputStream(file)) {
                    SweepPlot.write(analysis.sweep().variable(), fitted, plot);
                }
            }
        }
    }
}
