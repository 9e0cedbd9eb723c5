package linenring.scale.report.fit;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the shape that a figure follows. The largest size measured is kept out and predicted. Among the shapes laid
 * through the rest, the simplest is taken whose criterion is within {@link #ALIKE} of the best.
 */
public final class FitChooser {
    /** Sizes that a claim needs: four to fit a line with residuals, and one to predict. */
    public static final int SIZES_LEAST = 5;

    /** Models whose criteria differ by less are supported alike (Burnham and Anderson, 2002). */
    static final double ALIKE = 2;

    private FitChooser() {}

    public static FitOutcome choose(List<Sample> samples) {
        int sizes = (int) samples.stream().mapToDouble(Sample::size).distinct().count();
        if (sizes < SIZES_LEAST) {
            return new FitOutcome.TooFewSizes(sizes, SIZES_LEAST);
        }
        double largest = samples.stream().mapToDouble(Sample::size).max().orElseThrow();
        List<Sample> seen = samples.stream()
                .filter(sample -> sample.size() < largest)
                .sorted(Comparator.comparingDouble(Sample::size))
                .toList();
        List<Fit> candidates = candidates(seen);
        Fit fit = simplestOfTheBest(candidates);
        return new FitOutcome.Fitted(fit, candidates, new HeldOut(largest, fit.at(largest), meanAt(largest, samples)));
    }

    private static List<Fit> candidates(List<Sample> samples) {
        return Arrays.stream(Shape.values())
                .map(shape -> new LeastSquares(shape, samples).fit())
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(Fit::aicc))
                .toList();
    }

    private static Fit simplestOfTheBest(List<Fit> bestFirst) {
        double bound = bestFirst.get(0).aicc() + ALIKE;
        return bestFirst.stream()
                .filter(fit -> fit.aicc() <= bound)
                .min(Comparator.comparingInt((Fit fit) -> fit.shape().freedom()).thenComparingDouble(Fit::aicc))
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
