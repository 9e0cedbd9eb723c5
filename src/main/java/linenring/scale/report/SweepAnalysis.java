package linenring.scale.report;

import java.util.ArrayList;
import java.util.List;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.report.fit.FitChooser;
import linenring.scale.report.fit.FitOutcome;
import linenring.scale.report.fit.Sample;

/** The fits of a measured sweep. A point that failed, or whose value was not read, is left out of them. */
public record SweepAnalysis(MeasuredSweep sweep, List<FittedMetric> fits) {
    /** Copies the list, so that the value can't change. */
    public SweepAnalysis {
        fits = List.copyOf(fits);
    }

    /** One metric of one side against the sweep's variable. */
    public record FittedMetric(Side side, Metric metric, List<Sample> samples, FitOutcome outcome) {
        /** Copies the list, so that the value can't change. */
        public FittedMetric {
            samples = List.copyOf(samples);
        }
    }

    /** Fits each metric that was read at any point. */
    public static SweepAnalysis of(MeasuredSweep sweep) {
        List<FittedMetric> fits = new ArrayList<>();
        for (Side side : Side.values()) {
            for (Metric metric : Metric.values()) {
                List<Sample> samples = samples(sweep, side, metric);
                if (!samples.isEmpty()) {
                    fits.add(new FittedMetric(side, metric, samples, FitChooser.choose(samples)));
                }
            }
        }
        return new SweepAnalysis(sweep, fits);
    }

    private static List<Sample> samples(MeasuredSweep sweep, Side side, Metric metric) {
        return sweep.points().stream()
                .filter(point -> side.of(point) != null)
                .map(point -> new Sample(point.size(), metric.of(side.of(point))))
                .filter(sample -> !Double.isNaN(sample.value()))
                .toList();
    }
}
