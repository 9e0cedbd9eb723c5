package linenring.scale.report;

import static linenring.scale.report.MarkdownTable.number;
import static linenring.scale.report.MarkdownTable.signedPercent;
import static linenring.scale.report.MarkdownTable.text;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.measurement.ScenarioOutcome;
import linenring.scale.measurement.Usage;
import linenring.scale.measurement.Variable;
import linenring.scale.measurement.Workload;
import linenring.scale.report.fit.Fit;
import linenring.scale.report.fit.FitOutcome;
import linenring.scale.report.fit.HeldOut;

/** Renders a run as a Markdown page: the points and fits of each sweep, then the scenarios. */
public final class MarkdownReport {
    private static final double PERCENT = 100;
    private static final double KILO = 1e3;

    private final ScaleRun run;
    private final List<SweepAnalysis> analyses;

    /** Creates the report of a run; {@code analyses} has the analysis of each sweep, in the order of the sweeps. */
    public MarkdownReport(ScaleRun run, List<SweepAnalysis> analyses) {
        this.run = run;
        this.analyses = List.copyOf(analyses);
    }

    /** Returns the page; its title contains {@code name}. */
    public String page(String name) {
        StringBuilder page = new StringBuilder("# Scale run " + name + "\n\n" + renderHead());
        for (int i = 0; i < analyses.size(); i++) {
            page.append(renderSection(i + 1, analyses.get(i)));
        }
        if (!run.scenarios().isEmpty()) {
            page.append("\n## Scenarios\n\n").append(renderScenarios());
        }
        return page.toString();
    }

    private String renderHead() {
        return "Build " + run.build() + ", begun " + run.startedAt() + ", seed " + run.seed() + ", " + run.cores()
                + " cores, " + run.machine() + ". Each point: " + number(run.warmUpSeconds()) + " s of warm-up, "
                + number(run.windowSeconds()) + " s measured. MB is 10^6 bytes, kB 10^3.\n";
    }

    private static String renderSection(int index, SweepAnalysis analysis) {
        MeasuredSweep sweep = analysis.sweep();
        return "\n## " + index + ". By " + sweep.variable().description() + "\n\nHeld: " + renderConstants(sweep)
                + ".\n\n" + renderPoints(sweep) + "\n" + renderFits(analysis) + renderThreads(sweep);
    }

    private static String renderThreads(MeasuredSweep sweep) {
        ThreadTable table = new ThreadTable(sweep);
        String heading = "\nProcessor time by thread of the real controller, % of a core:\n\n";
        return table.isEmpty() ? "" : heading + table.markdown(sweep.variable().description());
    }

    private static String renderConstants(MeasuredSweep sweep) {
        Workload base = sweep.base();
        return Arrays.stream(Variable.values())
                .filter(variable -> variable != sweep.variable())
                .filter(variable -> !(variable == Variable.HOSTS_IN_SCOPE && base.scopeCoversCatalogue()))
                .map(variable -> variable.description() + " " + number(base.size(variable)))
                .collect(Collectors.joining(", "));
    }

    // ---- points

    private static String renderPoints(MeasuredSweep sweep) {
        List<String> headings = new ArrayList<>(List.of(sweep.variable().description()));
        for (Metric metric : Metric.values()) {
            headings.add(metric.description() + ", " + metric.unit());
        }
        headings.add("simulated: processor, % of a core; heap, MB");
        headings.add("failure");
        MarkdownTable table = new MarkdownTable(headings);
        sweep.points().forEach(point -> table.row(cells(point)));
        return table.toString();
    }

    private static List<String> cells(Point point) {
        List<String> cells = new ArrayList<>(List.of(number(point.size())));
        for (Metric metric : Metric.values()) {
            cells.add(cell(metric, point.real()));
        }
        cells.add(simulated(point.hollow()));
        cells.add(text(point.failure()));
        return cells;
    }

    private static String cell(Metric metric, Usage usage) {
        return usage == null ? "" : number(metric.of(usage));
    }

    private static String simulated(Usage usage) {
        return usage == null ? "" : cell(Metric.PROCESSOR, usage) + "; " + cell(Metric.HEAP, usage);
    }

    // ---- fits

    /** Returns the table of fits, and a note with the metrics that have too few sizes for a fit. */
    private static String renderFits(SweepAnalysis analysis) {
        MarkdownTable table = new MarkdownTable(List.of(
                "metric",
                "shape",
                "formula",
                "knee",
                "residuals, +-",
                "largest seen",
                "held out",
                "predicted",
                "measured",
                "error"));
        List<String> unfitted = new ArrayList<>();
        for (SweepAnalysis.FittedMetric fitted : analysis.fits()) {
            if (fitted.outcome() instanceof FitOutcome.Fitted found) {
                table.row(cells(name(fitted), found));
            } else if (fitted.outcome() instanceof FitOutcome.TooFewSizes few) {
                unfitted.add(name(fitted) + ": " + few.measured() + " sizes, " + few.needed() + " are needed");
            }
        }
        String note = unfitted.isEmpty() ? "" : "Not fitted: " + String.join("; ", unfitted) + ".\n";
        return unfitted.size() == analysis.fits().size() ? note : table + (note.isEmpty() ? "" : "\n" + note);
    }

    private static String name(SweepAnalysis.FittedMetric fitted) {
        return fitted.side().description() + " " + fitted.metric().description() + ", "
                + fitted.metric().unit();
    }

    private static List<String> cells(String metric, FitOutcome.Fitted found) {
        Fit fit = found.fit();
        HeldOut heldOut = found.heldOut();
        return List.of(
                metric,
                fit.shape().description(),
                fit.formula(),
                number(fit.knee()),
                number(fit.residualError()),
                number(fit.largestSize()),
                number(heldOut.size()),
                number(heldOut.predicted()),
                number(heldOut.measured()),
                signedPercent(heldOut.error()));
    }

    // ---- scenarios

    private String renderScenarios() {
        MarkdownTable table = new MarkdownTable(List.of(
                "scenario",
                "hosts in the catalogue",
                "entries changed",
                "converged after, s",
                "kB in",
                "kB out",
                "processor, % of a core",
                "at most in a second",
                "resident memory, MB",
                "failure"));
        run.scenarios().forEach(outcome -> table.row(cells(outcome)));
        return table.toString();
    }

    private static List<String> cells(ScenarioOutcome outcome) {
        return List.of(
                outcome.scenario().description(),
                number(outcome.workload().catalogueHosts()),
                number(outcome.hostsConcerned()),
                number(outcome.convergenceSeconds()),
                number(outcome.bytesIn() / KILO),
                number(outcome.bytesOut() / KILO),
                cell(Metric.PROCESSOR, outcome.real()),
                number(PERCENT * outcome.peakProcessorShare()),
                cell(Metric.RESIDENT, outcome.real()),
                text(outcome.failure()));
    }
}
