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

/** Lays one shape through samples so that the sum of squared residuals is least. */
final class LeastSquares {
    private static final int GRID =
            64; // the sum need not have one valley only: first a grid, then Brent in the best cell
    private static final double PRECISION = 1e-6;
    private static final int EVALUATIONS_MOST = 200;
    private static final double NO_FIT = Double.MAX_VALUE;
    private static final double EXACT = 1e-12; // squared residuals, as a part of all squares, that count as rounding

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
        if (sizes.length < shape.leastSamples()) {
            return Optional.empty();
        }
        double parameter = shape.hasParameter() ? bestParameter() : Double.NaN;
        return coefficients(parameter).filter(this::isPlausible).map(found -> fit(found, parameter));
    }

    private Fit fit(double[] coefficients, double parameter) {
        double squares = Math.max(squares(coefficients, parameter), EXACT * StatUtils.sumSq(values));
        int count = sizes.length;
        double residualError = Math.sqrt(squares / (count - shape.freedom()));
        List<Double> found = new ArrayList<>();
        for (double coefficient : coefficients) {
            found.add(coefficient);
        }
        return new Fit(shape, found, parameter, residualError, aicc(squares), count, sizes[count - 1]);
    }

    /** The variance of the residuals is not counted among the figures chosen: it is the same for all shapes. */
    private double aicc(double squares) {
        int count = sizes.length;
        int chosen = shape.freedom();
        double fitTerm = count * Math.log(Math.max(squares, Double.MIN_NORMAL) / count);
        double correction = 2.0 * chosen * (chosen + 1) / (count - chosen - 1);
        return fitTerm + 2 * chosen + correction;
    }

    /** A quadratic with a weight under 0 turns back beyond what was measured. */
    private boolean isPlausible(double[] coefficients) {
        return shape != Shape.QUADRATIC || coefficients[1] >= 0 && coefficients[2] >= 0;
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
        } catch (SingularMatrixException e) {
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
        return coefficients(parameter).map(found -> squares(found, parameter)).orElse(NO_FIT);
    }

    private double bestParameter() {
        double least = shape == Shape.POWER ? Shape.LEAST_EXPONENT : sizes[1]; // two sizes on each side of a knee
        double most = shape == Shape.POWER ? Shape.MOST_EXPONENT : sizes[sizes.length - 2];
        double step = (most - least) / GRID;
        int best = 0;
        for (int i = 1; i <= GRID; i++) {
            best = squaresWith(least + i * step) < squaresWith(least + best * step) ? i : best;
        }
        double from = least + Math.max(0, best - 1) * step;
        double to = least + Math.min(GRID, best + 1) * step;
        return new BrentOptimizer(PRECISION, PRECISION)
                .optimize(
                        new UnivariateObjectiveFunction(this::squaresWith),
                        GoalType.MINIMIZE,
                        new SearchInterval(from, to),
                        new MaxEval(EVALUATIONS_MOST))
                .getPoint();
    }
}
