package linenring.scale.measurement;

/**
 * The result of a scenario. The names of the components are the keys of stored records and stay.
 *
 * @param workload the load on the controller while it was played
 * @param real what a real controller used from its beginning to its end, or null if it did not live to the end
 * @param hollow what a simulated controller used, or null if none ran
 * @param hostsConcerned entries of the catalogue that changed
 * @param convergenceSeconds from the last change written until the tables of all the real controller's proxies agreed with the
 *     catalogue, or the longest for which one of them held a host that was not ready any more; NaN if they never agreed
 * @param bytesIn all that was sent to one real controller
 * @param bytesOut all that it sent
 * @param peakProcessorShare the highest processor share of the real one over any one second
 * @param failure what went wrong, as text; null if nothing did
 */
public record ScenarioOutcome(
        Scenario scenario,
        Workload workload,
        Usage real,
        Usage hollow,
        int hostsConcerned,
        double convergenceSeconds,
        double bytesIn,
        double bytesOut,
        double peakProcessorShare,
        String failure) {}
