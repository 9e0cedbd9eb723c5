package linenring.scale.report.fit;

/** A value that was measured at a size. */
public record Sample(double size, double value) {}
