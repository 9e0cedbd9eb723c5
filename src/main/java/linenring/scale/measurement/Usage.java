package linenring.scale.measurement;

import java.util.Map;

/**
 * What one controller used while a workload ran, read from outside its process; of a simulated one, its share of its process.
 * A value that could not be read is NaN.
 *
 * @param processorShare processor time over elapsed time: 1 is one core
 * @param residentBytes resident memory of the process at the end
 * @param heapBytes heap in use after a full collection
 * @param bytesInPerSecond what was sent to it
 * @param bytesOutPerSecond what it sent
 * @param messagesInPerSecond lines that were sent to it
 * @param messagesOutPerSecond lines that it sent
 * @param shareByThread processor share by the name of its threads; empty where that was not measured
 */
public record Usage(
        double processorShare,
        double residentBytes,
        double heapBytes,
        double bytesInPerSecond,
        double bytesOutPerSecond,
        double messagesInPerSecond,
        double messagesOutPerSecond,
        Map<String, Double> shareByThread) {
    /** Copies the map, so that the value can't change. */
    public Usage {
        shareByThread = Map.copyOf(shareByThread);
    }
}
