package linenring.scale.report.fit;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the shape that measured values follow. The largest size measured is held out and predicted. Among the shapes
 * fitted to the rest, the simplest is taken whose criterion is within {@link #MAX_AICC_DIFFERENCE} of the best.
 */
public final class FitChooser {
    /** Sizes that a claim needs: four to fit a line with residuals, and one to predict. */
    public static final int MIN_SIZES = 5;

    /** Models whose criteria differ by less have the same support (Burnham and Anderson, 2002). */
    static final double MAX_AICC_DIFFERENCE = 2;

    private FitChooser() {}

    /** Fits all shapes and chooses one; samples may come in any order and several for one size. */
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
        Fit fit = simplestOfBest(candidates);
        return new FitOutcome.Fitted(fit, candidates, new HeldOut(largest, fit.at(largest), meanAt(largest, samples)));
    }

    private static List<Fit> candidates(List<Sample> samples) {
        return Arrays.stream(Shape.values())
                .map(shape -> new LeastSquares(shape, samples).fit())
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(Fit::aicc))
                .toList();
    }

    private static Fit simplestOfBest(List<Fit> bestFirst) {
        double bound = bestFirst.get(0).aicc() + MAX_AICC_DIFFERENCE;
        return bestFirst.stream()
                .filter(fit -> fit.aicc() <= bound)
                .min(Comparator.comparingInt((Fit fit) -> fit.shape().freeParameters())
                        .thenComparingDouble(Fit::aicc))
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
