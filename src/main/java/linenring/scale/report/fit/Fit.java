package linenring.scale.report.fit;

import java.util.List;
import java.util.Locale;

/**
 * A shape fitted to samples.
 *
 * @param coefficients intercept, followed by the weight of each term
 * @param parameter exponent of a power, or knee of a broken line; NaN for other shapes
 * @param residualError standard error of the residuals, in the unit of the values
 * @param correctedAkaikeCriterion Akaike information criterion, corrected for small samples (AICc); lower is better
 * @param samples number of samples that the shape was fitted to
 * @param largestSize largest size of these samples
 */
public record Fit(
        Shape shape,
        List<Double> coefficients,
        double parameter,
        double residualError,
        double correctedAkaikeCriterion,
        int samples,
        double largestSize) {
    /** Copies the list, so that the record is immutable. */
    public Fit {
        coefficients = List.copyOf(coefficients);
    }

    /** Returns the value that the fit predicts for a size. */
    public double predict(double size) {
        double[] terms = shape.terms(size, parameter);
        double value = coefficients.get(0);
        for (int i = 0; i < terms.length; i++) {
            value += coefficients.get(i + 1) * terms[i];
        }
        return value;
    }

    /** Returns the knee of a broken line, or NaN for other shapes. */
    public double knee() {
        return shape == Shape.BROKEN_LINE ? parameter : Double.NaN;
    }

    /** Returns the fitted function of {@code n} as text, for tables. */
    public String formula() {
        String intercept = fourDigits(coefficients.get(0));
        return switch (shape) {
            case CONSTANT -> intercept;
            case LINEAR -> intercept + weightedTerm(1, "n");
            case SQUARE_ROOT -> intercept + weightedTerm(1, "sqrt n");
            case N_LOG_N -> intercept + weightedTerm(1, "n log2 n");
            case QUADRATIC -> intercept + weightedTerm(1, "n") + weightedTerm(2, "n^2");
            case POWER -> intercept + weightedTerm(1, "n^" + fourDigits(parameter));
            case BROKEN_LINE ->
                intercept + weightedTerm(1, "n") + weightedTerm(2, "max(0, n - " + Math.round(parameter) + ")");
        };
    }

    private String weightedTerm(int coefficient, String term) {
        double weight = coefficients.get(coefficient);
        return (weight < 0 ? " - " : " + ") + fourDigits(Math.abs(weight)) + " " + term;
    }

    private static String fourDigits(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
