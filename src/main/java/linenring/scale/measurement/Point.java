package linenring.scale.measurement;

/**
 * One measured size of a sweep. The names of the components are the keys of stored records and stay.
 *
 * @param size the size of the variable
 * @param workload the load on the controller
 * @param real what a real controller used, or null if it did not live to the end
 * @param hollow what a simulated controller used, or null if none ran
 * @param failure why there are no values of the real one, as text; null if there are
 */
public record Point(double size, Workload workload, Usage real, Usage hollow, String failure) {}
