package linenring.scale.report.fit;

/**
 * How a value may follow a size: an intercept and a weighted sum of terms, some of them with a parameter of their own.
 * In the order of preference where two fit equally well.
 */
public enum Shape {
    CONSTANT("constant", false),
    LINEAR("linear", false),
    /** Grows ever slower, as where many inputs are taken in one go. */
    SQUARE_ROOT("square root", false),
    N_LOG_N("n log n", false),
    QUADRATIC("quadratic", false),
    POWER("power", true),
    BROKEN_LINE("broken line", true);

    /** The range of exponents that {@link #POWER} is tried with. */
    static final double MIN_EXPONENT = 0.2;

    static final double MAX_EXPONENT = 3;

    private final String description;
    private final boolean hasParameter;

    Shape(String description, boolean hasParameter) {
        this.description = description;
        this.hasParameter = hasParameter;
    }

    /** The text for tables. */
    public String description() {
        return description;
    }

    /** Whether the terms depend on an exponent or a knee that has to be searched for. */
    boolean hasParameter() {
        return hasParameter;
    }

    /** The terms of a size beside the intercept; {@code parameter} is the exponent or the knee. */
    double[] terms(double size, double parameter) {
        return switch (this) {
            case CONSTANT -> new double[] {};
            case LINEAR -> new double[] {size};
            case SQUARE_ROOT -> new double[] {Math.sqrt(size)};
            case N_LOG_N -> new double[] {nLogN(size)};
            case QUADRATIC -> new double[] {size, size * size};
            case POWER -> new double[] {Math.pow(size, parameter)};
            case BROKEN_LINE -> new double[] {size, Math.max(0, size - parameter)};
        };
    }

    private static double nLogN(double size) {
        return size <= 1 ? 0 : size * Math.log(size) / Math.log(2);
    }

    /** How many values are chosen to fit: intercept, weights, and the parameter. */
    int freeParameters() {
        return 1 + terms(1, 1).length + (hasParameter ? 1 : 0);
    }

    /** Samples that a fit needs: two more than free parameters, since without residuals every shape would fit. */
    int minSamples() {
        return freeParameters() + 2;
    }
}
