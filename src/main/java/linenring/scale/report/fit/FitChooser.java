package linenring.scale.report.fit;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the shape that fits measured values. All shapes are fitted to the samples below the largest size; the largest size
 * is held out to test the prediction. Of the shapes whose criterion is within {@link #MAX_CRITERION_DIFFERENCE} of the best, the
 * simplest is chosen.
 */
public final class FitChooser {
    /** Fewest sizes for a fit: four determine a line with residuals, and one is held out. */
    public static final int MIN_SIZES = 5;

    /** Models whose criteria differ by less are supported equally by the samples (Burnham and Anderson, 2002). */
    static final double MAX_CRITERION_DIFFERENCE = 2;

    private FitChooser() {}

    /** Fits all shapes and chooses one; samples may be in any order, and a size may have several samples. */
    public static FitOutcome choose(List<Sample> samples) {
        int sizes = (int) samples.stream().mapToDouble(Sample::size).distinct().count();
        if (sizes < MIN_SIZES) {
            return new FitOutcome.TooFewSizes(sizes, MIN_SIZES);
        }
        double largest = samples.stream().mapToDouble(Sample::size).max().orElseThrow();
        List<Sample> fitted = samples.stream()
                .filter(sample -> sample.size() < largest)
                .sorted(Comparator.comparingDouble(Sample::size))
                .toList();
        List<Fit> candidates = candidates(fitted);
        Fit fit = simplestNearBest(candidates);
        return new FitOutcome.Fitted(
                fit, candidates, new HeldOut(largest, fit.predict(largest), meanAt(largest, samples)));
    }

    private static List<Fit> candidates(List<Sample> samples) {
        return Arrays.stream(Shape.values())
                .map(shape -> new LeastSquares(shape, samples).fit())
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(Fit::correctedAkaikeCriterion))
                .toList();
    }

    private static Fit simplestNearBest(List<Fit> bestFirst) {
        double bound = bestFirst.get(0).correctedAkaikeCriterion() + MAX_CRITERION_DIFFERENCE;
        return bestFirst.stream()
                .filter(fit -> fit.correctedAkaikeCriterion() <= bound)
                .min(Comparator.comparingInt((Fit fit) -> fit.shape().freeParameters())
                        .thenComparingDouble(Fit::correctedAkaikeCriterion))
                .orElseThrow();
    }

    private static double meanAt(double size, List<Sample> samples) {
        return samples.stream()
                .filter(sample -> sample.size() == size)
                .mapToDouble(Sample::value)
                .average()
                .orElseThrow();
    }
}
