package linenring.scale.report;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.stream.IntStream;
import linenring.scale.measurement.Variable;
import linenring.scale.report.fit.FitOutcome;
import linenring.scale.report.fit.Sample;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.lines.SeriesLines;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** One figure against its variable as a PNG: the points measured, and the fit beyond what it has seen. */
final class SweepPlot {
    private static final int WIDTH = 800;
    private static final int HEIGHT = 500;
    private static final int STEPS = 100; // of a fit's line

    private SweepPlot() {}

    static void write(Variable variable, SweepAnalysis.FittedMetric fitted, OutputStream to) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .xAxisTitle(variable.description())
                .yAxisTitle(
                        fitted.metric().description() + ", " + fitted.metric().unit())
                .build();
        List<Sample> samples = fitted.samples();
        chart.addSeries(
                        "measured",
                        samples.stream().mapToDouble(Sample::size).toArray(),
                        samples.stream().mapToDouble(Sample::value).toArray())
                .setLineStyle(SeriesLines.NONE);
        if (fitted.outcome() instanceof FitOutcome.Fitted found) {
            addFit(chart, found);
        }
        BitmapEncoder.saveBitmap(chart, to, BitmapFormat.PNG);
    }

    private static void addFit(XYChart chart, FitOutcome.Fitted found) {
        double most = found.heldOut().size();
        double[] sizes = IntStream.rangeClosed(0, STEPS)
                .mapToDouble(i -> i * most / STEPS)
                .toArray();
        double[] values = IntStream.rangeClosed(0, STEPS)
                .mapToDouble(i -> found.fit().at(sizes[i]))
                .toArray();
        String name = found.fit().shape().description() + " up to "
                + Math.round(found.fit().largestSize());
        chart.addSeries(name, sizes, values).setMarker(SeriesMarkers.NONE);
    }
}
