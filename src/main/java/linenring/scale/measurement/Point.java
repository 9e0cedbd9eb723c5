package linenring.scale.measurement;

/**
 * One measured size of a sweep.
 *
 * @param size the size of the variable
 * @param workload all that the steward bore
 * @param real what a real steward used, or null where it did not live to the end
 * @param hollow what a hollow one used, or null where none ran
 * @param failure why there is no figure of the real one, in words; null where there is
 */
public record Point(double size, Workload workload, Usage real, Usage hollow, String failure) {}
