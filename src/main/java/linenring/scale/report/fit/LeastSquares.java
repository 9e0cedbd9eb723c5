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

/** Fits a shape to samples with the least sum of squared residuals. */
final class LeastSquares {
    /** Cells of the grid that is searched before Brent's method, since the sum of squares may have several local minima. */
    private static final int GRID_CELLS = 64;

    private static final double PARAMETER_PRECISION = 1e-6;
    private static final int MAX_EVALUATIONS = 200;
    /** Sum of squares that is used for samples which do not determine the shape. */
    private static final double UNDETERMINED = Double.MAX_VALUE;
    /** Sums of squared residuals below this share of the sum of squared values are rounding errors. */
    private static final double ROUNDING_ERROR_SHARE = 1e-12;

    private final Shape shape;
    private final double[] sizes;
    private final double[] values;

    /** Creates the fit of a shape to samples, which must be sorted by size. */
    LeastSquares(Shape shape, List<Sample> samples) {
        this.shape = shape;
        this.sizes = samples.stream().mapToDouble(Sample::size).toArray();
        this.values = samples.stream().mapToDouble(Sample::value).toArray();
    }

    /**
     * Returns the fit, or empty if there are too few samples, if they do not determine the shape, or if the fitted shape is not
     * monotonic.
     */
    Optional<Fit> fit() {
        if (sizes.length < shape.minSamples()) {
            return Optional.empty();
        }
        double parameter = shape.hasParameter() ? bestParameter() : Double.NaN;
        return coefficients(parameter).filter(this::canExtrapolate).map(found -> fit(found, parameter));
    }

    private Fit fit(double[] coefficients, double parameter) {
        double squares =
                Math.max(sumOfSquares(coefficients, parameter), ROUNDING_ERROR_SHARE * StatUtils.sumSq(values));
        int count = sizes.length;
        double residualError = Math.sqrt(squares / (count - shape.freeParameters()));
        List<Double> found = new ArrayList<>();
        for (double coefficient : coefficients) {
            found.add(coefficient);
        }
        return new Fit(
                shape, found, parameter, residualError, correctedAkaikeCriterion(squares), count, sizes[count - 1]);
    }

    /**
     * Returns the corrected Akaike information criterion. The variance of the residuals is not counted as a free parameter,
     * since all shapes have it.
     */
    private double correctedAkaikeCriterion(double squares) {
        int count = sizes.length;
        int parameters = shape.freeParameters();
        double fitTerm = count * Math.log(Math.max(squares, Double.MIN_NORMAL) / count);
        double correction = 2.0 * parameters * (parameters + 1) / (count - parameters - 1);
        return fitTerm + 2 * parameters + correction;
    }

    /** Whether the fit can be extrapolated: a quadratic with a negative weight would fall again beyond the measured sizes. */
    private boolean canExtrapolate(double[] coefficients) {
        return shape != Shape.QUADRATIC || (coefficients[1] >= 0 && coefficients[2] >= 0);
    }

    // ---- weights of the terms

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

    private double sumOfSquares(double[] coefficients, double parameter) {
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

    // ---- search for the exponent or the knee

    private double sumOfSquaresFor(double parameter) {
        return coefficients(parameter)
                .map(found -> sumOfSquares(found, parameter))
                .orElse(UNDETERMINED);
    }

    private double bestParameter() {
        double lowest =
                shape == Shape.POWER ? Shape.MIN_EXPONENT : sizes[1]; // at least two sizes on each side of a knee
        double highest = shape == Shape.POWER ? Shape.MAX_EXPONENT : sizes[sizes.length - 2];
        double step = (highest - lowest) / GRID_CELLS;
        int best = 0;
        for (int i = 1; i <= GRID_CELLS; i++) {
            best = sumOfSquaresFor(lowest + i * step) < sumOfSquaresFor(lowest + best * step) ? i : best;
        }
        double start = lowest + Math.max(0, best - 1) * step;
        double end = lowest + Math.min(GRID_CELLS, best + 1) * step;
        return new BrentOptimizer(PARAMETER_PRECISION, PARAMETER_PRECISION)
                .optimize(
                        new UnivariateObjectiveFunction(this::sumOfSquaresFor),
                        GoalType.MINIMIZE,
                        new SearchInterval(start, end),
                        new MaxEval(MAX_EVALUATIONS))
                .getPoint();
    }
}
