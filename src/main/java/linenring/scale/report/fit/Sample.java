package linenring.scale.report.fit;

/** A value that was measured at a given size. */
public record Sample(double size, double value) {}
