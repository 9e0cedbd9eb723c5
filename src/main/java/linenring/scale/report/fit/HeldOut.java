package linenring.scale.report.fit;

/** The largest size measured, which the fit has not seen: what it predicts there, and what was measured. */
public record HeldOut(double size, double predicted, double measured) {
    /** The error of the prediction relative to the measured value: 0.1 is a tenth too high. */
    public double error() {
        return (predicted - measured) / Math.abs(measured);
    }
}
