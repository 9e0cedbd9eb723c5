package linenring.scale.measurement;

/**
 * What a scenario came to.
 *
 * @param workload all that the steward bore while it was played
 * @param real what a real steward used from its beginning to its end, or null where it did not live to the end
 * @param hollow what a hollow one used, or null where none ran
 * @param hostsConcerned entries of the catalogue that changed
 * @param convergenceSeconds from the last change written until the tables of all the real steward's proxies agreed with the
 *     catalogue, or the longest for which one of them held a host that was not ready any more; NaN if they never agreed
 * @param bytesIn all that was sent to one real steward
 * @param bytesOut all that it sent
 * @param peakProcessorShare the highest processor share of the real one over any one second
 * @param failure what went wrong, in words; null where nothing did
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
