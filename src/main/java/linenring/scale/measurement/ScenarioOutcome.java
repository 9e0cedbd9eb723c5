package linenring.scale.measurement;

/**
 * The result of one scenario. The component names are keys of stored records and must not change.
 *
 * @param workload the load on the controller during the scenario
 * @param real the resource usage of the real controller over the scenario, or null if the scenario could not be completed
 * @param hollow the resource usage of the simulated controller, or null if it was not measured
 * @param hostsConcerned the number of catalogue entries that changed
 * @param convergenceSeconds the larger of two times: from the last catalogue change until the tables of all proxies of the
 *     real controller matched the catalogue, and the longest time for which a table kept a host that was no longer ready;
 *     NaN if the tables did not converge
 * @param bytesIn the number of bytes sent to the real controller
 * @param bytesOut the number of bytes that the real controller sent
 * @param peakProcessorShare the highest processor share of the real controller over any one second; 1 is one core
 * @param failure the reason why the scenario failed, as text; null if it succeeded
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
