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

/** Plots a metric over the sweep's variable as a PNG: the measured points, and the fit up to the held-out size. */
final class SweepPlot {
    private static final int WIDTH_PIXELS = 800;
    private static final int HEIGHT_PIXELS = 500;
    private static final int LINE_SEGMENTS = 100;

    private SweepPlot() {}

    static void write(Variable variable, SweepAnalysis.FittedMetric fitted, OutputStream plot) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
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
        BitmapEncoder.saveBitmap(chart, plot, BitmapFormat.PNG);
    }

    private static void addFit(XYChart chart, FitOutcome.Fitted found) {
        double largest = found.heldOut().size();
        double[] sizes = IntStream.rangeClosed(0, LINE_SEGMENTS)
                .mapToDouble(step -> step * largest / LINE_SEGMENTS)
                .toArray();
        double[] values = IntStream.rangeClosed(0, LINE_SEGMENTS)
                .mapToDouble(step -> found.fit().predict(sizes[step]))
                .toArray();
        String name = found.fit().shape().description() + " up to "
                + Math.round(found.fit().largestSize());
        chart.addSeries(name, sizes, values).setMarker(SeriesMarkers.NONE);
    }
}
