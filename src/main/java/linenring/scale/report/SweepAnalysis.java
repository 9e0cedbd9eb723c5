package linenring.scale.report;

import java.util.ArrayList;
import java.util.List;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.report.fit.FitChooser;
import linenring.scale.report.fit.FitOutcome;
import linenring.scale.report.fit.Sample;

/** The fits of a measured sweep. Points that failed or have no measured value are not used for the fits. */
public record SweepAnalysis(MeasuredSweep sweep, List<FittedMetric> fits) {
    /** Copies the list, so that the record is immutable. */
    public SweepAnalysis {
        fits = List.copyOf(fits);
    }

    /** The samples of one metric of one kind of controller over the sweep's variable, and the result of their fit. */
    public record FittedMetric(Side side, Metric metric, List<Sample> samples, FitOutcome outcome) {
        /** Copies the list, so that the record is immutable. */
        public FittedMetric {
            samples = List.copyOf(samples);
        }
    }

    /** Fits each metric that has a measured value at any point. */
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
