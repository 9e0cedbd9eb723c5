package linenring.scale.report.fit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.math3.linear.SingularMatrixException;
import org.apache.commons.math3.optim.MaxEval;
import org.apache.commons.math3.optim.nonlinear.scalar.GoalType;
import org.apache.commons.math3.optim.univariate.BrentOptimizer;
import org.apache.commons.math3.optim.univariate.SearchInterval;
import org.apache.commons.math3.optim.univariate.UnivariateObjectiveFunction;
import org.apache.commons.math3.stat.StatUtils;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/** Fits one shape to samples so that the sum of squared residuals is least. */
final class LeastSquares {
    /** Cells of the search for a parameter: the sum may have several minima, so a grid comes before Brent's method. */
    private static final int GRID_CELLS = 64;

    private static final double PARAMETER_PRECISION = 1e-6;
    private static final int MAX_EVALUATIONS = 200;
    /** The sum of squares where the samples don't determine the shape. */
    private static final double UNDETERMINED = Double.MAX_VALUE;
    /** Squared residuals, relative to all squares, under which they are rounding errors. */
    private static final double ROUNDING = 1e-12;

    private final Shape shape;
    private final double[] sizes;
    private final double[] values;

    /** The samples are in the order of their sizes. */
    LeastSquares(Shape shape, List<Sample> samples) {
        this.shape = shape;
        this.sizes = samples.stream().mapToDouble(Sample::size).toArray();
        this.values = samples.stream().mapToDouble(Sample::value).toArray();
    }

    /** Empty where there are too few samples, where they don't determine the shape, or where it would fall and rise. */
    Optional<Fit> fit() {
        if (sizes.length < shape.minSamples()) {
            return Optional.empty();
        }
        double parameter = shape.hasParameter() ? bestParameter() : Double.NaN;
        return coefficients(parameter).filter(this::isPlausible).map(found -> fit(found, parameter));
    }

    private Fit fit(double[] coefficients, double parameter) {
        double squares = Math.max(squares(coefficients, parameter), ROUNDING * StatUtils.sumSq(values));
        int count = sizes.length;
        double residualError = Math.sqrt(squares / (count - shape.freeParameters()));
        List<Double> found = new ArrayList<>();
        for (double coefficient : coefficients) {
            found.add(coefficient);
        }
        return new Fit(shape, found, parameter, residualError, aicc(squares), count, sizes[count - 1]);
    }

    /** The variance of the residuals is not counted among the free parameters: it is the same for all shapes. */
    private double aicc(double squares) {
        int count = sizes.length;
        int parameters = shape.freeParameters();
        double fitTerm = count * Math.log(Math.max(squares, Double.MIN_NORMAL) / count);
        double correction = 2.0 * parameters * (parameters + 1) / (count - parameters - 1);
        return fitTerm + 2 * parameters + correction;
    }

    /** A quadratic with a weight under 0 turns back beyond what was measured. */
    private boolean isPlausible(double[] coefficients) {
        return shape != Shape.QUADRATIC || (coefficients[1] >= 0 && coefficients[2] >= 0);
    }

    // ---- weights

    private Optional<double[]> coefficients(double parameter) {
        if (shape == Shape.CONSTANT) {
            return Optional.of(new double[] {StatUtils.mean(values)});
        }
        double[][] terms = new double[sizes.length][];
        for (int i = 0; i < sizes.length; i++) {
            terms[i] = shape.terms(sizes[i], parameter);
        }
        try {
            OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
            regression.newSampleData(values, terms);
            return Optional.of(regression.estimateRegressionParameters());
        } catch (SingularMatrixException undetermined) {
            return Optional.empty();
        }
    }

    private double squares(double[] coefficients, double parameter) {
        double sum = 0;
        for (int i = 0; i < sizes.length; i++) {
            double residual = values[i] - coefficients[0];
            double[] terms = shape.terms(sizes[i], parameter);
            for (int j = 0; j < terms.length; j++) {
                residual -= coefficients[j + 1] * terms[j];
            }
            sum += residual * residual;
        }
        return sum;
    }

    // ---- exponent or knee

    private double squaresWith(double parameter) {
        return coefficients(parameter).map(found -> squares(found, parameter)).orElse(UNDETERMINED);
    }

    private double bestParameter() {
        double lowest = shape == Shape.POWER ? Shape.MIN_EXPONENT : sizes[1]; // two sizes on each side of a knee
        double highest = shape == Shape.POWER ? Shape.MAX_EXPONENT : sizes[sizes.length - 2];
        double step = (highest - lowest) / GRID_CELLS;
        int best = 0;
        for (int i = 1; i <= GRID_CELLS; i++) {
            best = squaresWith(lowest + i * step) < squaresWith(lowest + best * step) ? i : best;
        }
        double start = lowest + Math.max(0, best - 1) * step;
        double end = lowest + Math.min(GRID_CELLS, best + 1) * step;
        return new BrentOptimizer(PARAMETER_PRECISION, PARAMETER_PRECISION)
                .optimize(
                        new UnivariateObjectiveFunction(this::squaresWith),
                        GoalType.MINIMIZE,
                        new SearchInterval(start, end),
                        new MaxEval(MAX_EVALUATIONS))
                .getPoint();
    }
}
