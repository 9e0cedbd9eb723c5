package linenring.scale.measurement;

/**
 * The measurement of one size in a sweep. The component names are keys of stored records and must not change.
 *
 * @param size the value of the variable that the sweep varies
 * @param workload the load on each controller
 * @param real the mean resource usage of the real controllers, or null if it was not measured
 * @param hollow the mean resource usage of the simulated controllers, or null if it was not measured
 * @param failure why the usage of the real controllers is missing, as text; null if it was measured
 */
public record Point(double size, Workload workload, Usage real, Usage hollow, String failure) {}
