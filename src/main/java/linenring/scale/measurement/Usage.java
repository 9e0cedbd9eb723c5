package linenring.scale.measurement;

import java.util.Map;

/**
 * The resource usage of one controller under a workload. The usage of a real controller is read from outside its process; that
 * of a simulated controller is its part of the measuring process. A value that could not be read is NaN.
 *
 * @param processorShare processor time divided by elapsed time; 1 is one core
 * @param residentBytes resident memory of the process at the end of the measurement
 * @param heapBytes heap in use after a full garbage collection
 * @param bytesInPerSecond the rate of bytes sent to the controller
 * @param bytesOutPerSecond the rate of bytes that the controller sent
 * @param messagesInPerSecond the rate of messages, one a line, sent to the controller
 * @param messagesOutPerSecond the rate of messages, one a line, that the controller sent
 * @param shareByThread processor share of the controller by thread name; empty if it was not measured
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
    /** Copies the shares by thread, so that the record is immutable. */
    public Usage {
        shareByThread = Map.copyOf(shareByThread);
    }
}
