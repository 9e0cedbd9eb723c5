package linenring.scale.report.fit;

import java.util.List;
import java.util.Locale;

/**
 * A shape fitted to samples.
 *
 * @param coefficients the intercept, then the weight of each term
 * @param parameter the exponent of a power, the knee of a broken line; NaN for other shapes
 * @param residualError the standard error of the residuals, in the unit of the values
 * @param aicc Akaike's information criterion with the correction for few samples; lower is better
 * @param samples how many samples it was fitted to
 * @param largestSize the largest size among them
 */
public record Fit(
        Shape shape,
        List<Double> coefficients,
        double parameter,
        double residualError,
        double aicc,
        int samples,
        double largestSize) {
    /** Copies the list, so that the value can't change. */
    public Fit {
        coefficients = List.copyOf(coefficients);
    }

    /** The value that the fit gives for a size. */
    public double at(double size) {
        double[] terms = shape.terms(size, parameter);
        double value = coefficients.get(0);
        for (int i = 0; i < terms.length; i++) {
            value += coefficients.get(i + 1) * terms[i];
        }
        return value;
    }

    /** The knee of a broken line; NaN for other shapes. */
    public double knee() {
        return shape == Shape.BROKEN_LINE ? parameter : Double.NaN;
    }

    /** The value as a function of {@code n}, for tables. */
    public String formula() {
        String intercept = fourDigits(coefficients.get(0));
        return switch (shape) {
            case CONSTANT -> intercept;
            case LINEAR -> intercept + weighted(1, "n");
            case SQUARE_ROOT -> intercept + weighted(1, "sqrt n");
            case N_LOG_N -> intercept + weighted(1, "n log2 n");
            case QUADRATIC -> intercept + weighted(1, "n") + weighted(2, "n^2");
            case POWER -> intercept + weighted(1, "n^" + fourDigits(parameter));
            case BROKEN_LINE -> intercept + weighted(1, "n") + weighted(2, "max(0, n - " + Math.round(parameter) + ")");
        };
    }

    private String weighted(int coefficient, String term) {
        double weight = coefficients.get(coefficient);
        return (weight < 0 ? " - " : " + ") + fourDigits(Math.abs(weight)) + " " + term;
    }

    private static String fourDigits(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
