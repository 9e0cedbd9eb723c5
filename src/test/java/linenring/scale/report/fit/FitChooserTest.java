package linenring.scale.report.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class FitChooserTest {
    private static final double[] SIZES = {256, 512, 1024, 2048, 4096, 9000, 16384, 24000, 32768, 49152, 73000};
    private static final double NOISE = 0.01; // relative to the largest value
    private static final int SEEDS = 20;

    private static List<Sample> samples(DoubleUnaryOperator law, double noise, long seed) {
        Random random = new Random(seed);
        double scale = Arrays.stream(SIZES).map(law).max().orElseThrow();
        return Arrays.stream(SIZES)
                .mapToObj(size -> new Sample(size, law.applyAsDouble(size) + noise * scale * random.nextGaussian()))
                .collect(Collectors.toList());
    }

    private static FitOutcome.Fitted fitted(List<Sample> samples) {
        return assertInstanceOf(FitOutcome.Fitted.class, FitChooser.choose(samples));
    }

    private static DoubleUnaryOperator law(Shape shape) {
        return switch (shape) {
            case CONSTANT -> size -> 50;
            case LINEAR -> size -> 2 + 0.003 * size;
            case N_LOG_N -> size -> 2 + 0.0002 * size * Math.log(size) / Math.log(2);
            case QUADRATIC -> size -> 2 + 0.001 * size + 4e-8 * size * size;
            case SQUARE_ROOT -> size -> 2 + 0.5 * Math.sqrt(size);
            case POWER -> size -> 2 + 0.05 * Math.pow(size, 0.75);
            case BROKEN_LINE -> size -> 2 + 0.0005 * size + 0.01 * Math.max(0, size - 20_000);
        };
    }

    @ParameterizedTest
    @EnumSource(Shape.class)
    void findsTheShapeOfSamplesWithoutNoise(Shape shape) {
        FitOutcome.Fitted found = fitted(samples(law(shape), 0, 1));
        assertEquals(shape, found.fit().shape());
        assertEquals(0, found.heldOut().error(), 1e-3);
    }

    /** With some seeds the noise makes a similar shape fit equally well; with most seeds the true shape is found. */
    @ParameterizedTest
    @EnumSource(
            value = Shape.class,
            names = {"CONSTANT", "LINEAR", "SQUARE_ROOT", "POWER", "BROKEN_LINE"})
    void findsTheShapeUnderNoiseWithMostSeeds(Shape shape) {
        int found = (int) LongStream.range(0, SEEDS)
                .filter(seed -> fitted(samples(law(shape), NOISE, seed)).fit().shape() == shape)
                .count();
        assertEquals(SEEDS, (double) found, SEEDS * 0.2);
    }

    @Test
    void findsTheKneeOfABrokenLine() {
        Fit fit = fitted(samples(law(Shape.BROKEN_LINE), NOISE, 3)).fit();
        assertEquals(20_000, fit.knee(), 2000);
    }

    @Test
    void predictsTheLargestSizeWithoutUsingItForTheFit() {
        List<Sample> samples = samples(law(Shape.LINEAR), 0, 1);
        double truth = samples.remove(samples.size() - 1).value();
        samples.add(new Sample(73_000, 2 * truth));
        FitOutcome.Fitted found = fitted(samples);
        assertEquals(Shape.LINEAR, found.fit().shape());
        assertEquals(49_152, found.fit().largestSize());
        assertEquals(truth, found.heldOut().predicted(), 1e-9);
        assertEquals(2 * truth, found.heldOut().measured());
        assertEquals(-0.5, found.heldOut().error(), 1e-9);
    }

    @Test
    void doesNotDependOnTheOrderOfTheSamples() {
        List<Sample> samples = samples(law(Shape.BROKEN_LINE), NOISE, 5);
        Fit inOrder = fitted(samples).fit();
        Collections.shuffle(samples, new Random(1));
        assertEquals(inOrder, fitted(samples).fit());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4})
    void refusesTooFewSizes(int count) {
        List<Sample> few = samples(law(Shape.LINEAR), 0, 1).subList(0, count);
        assertEquals(new FitOutcome.TooFewSizes(count, FitChooser.MIN_SIZES), FitChooser.choose(few));
    }

    @Test
    void countsDistinctSizes() {
        List<Sample> samples = samples(law(Shape.LINEAR), 0, 1).subList(0, 4);
        samples.addAll(List.copyOf(samples));
        assertEquals(new FitOutcome.TooFewSizes(4, FitChooser.MIN_SIZES), FitChooser.choose(samples));
    }
}
