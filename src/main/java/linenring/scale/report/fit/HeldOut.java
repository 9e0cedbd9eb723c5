package linenring.scale.report.fit;

/** The largest measured size, which was not used for the fit, with the predicted and the measured value. */
public record HeldOut(double size, double predicted, double measured) {
    /** Returns the error of the prediction relative to the measured value: 0.1 means 10% too high. */
    public double error() {
        return (predicted - measured) / Math.abs(measured);
    }
}
