package linenring.scale.report.fit;

/**
 * A function of the size: an intercept and a weighted sum of terms; some shapes have a further parameter. The order of the
 * constants is the order of preference between shapes that fit equally well.
 */
public enum Shape {
    CONSTANT("constant", false),
    LINEAR("linear", false),
    /** Grows more slowly than linear, as with inputs that are processed in batches. */
    SQUARE_ROOT("square root", false),
    N_LOG_N("n log n", false),
    QUADRATIC("quadratic", false),
    POWER("power", true),
    BROKEN_LINE("broken line", true);

    /** Lowest exponent that is tried for {@link #POWER}. */
    static final double MIN_EXPONENT = 0.2;

    static final double MAX_EXPONENT = 3;

    private final String description;
    private final boolean hasParameter;

    Shape(String description, boolean hasParameter) {
        this.description = description;
        this.hasParameter = hasParameter;
    }

    /** Returns the name of the shape for tables. */
    public String description() {
        return description;
    }

    /** Whether the terms depend on an exponent or a knee, which is found by search. */
    boolean hasParameter() {
        return hasParameter;
    }

    /** Returns the terms for a size, without the intercept; {@code parameter} is the exponent or the knee. */
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

    /** Returns the number of fitted values: the intercept, the weights, and the parameter if there is one. */
    int freeParameters() {
        return 1 + terms(1, 1).length + (hasParameter ? 1 : 0);
    }

    /** Returns the fewest samples for a fit: two more than free parameters, since without residuals every shape fits exactly. */
    int minSamples() {
        return freeParameters() + 2;
    }
}
