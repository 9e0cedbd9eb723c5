package linenring.protocol;

import java.util.List;

/**
 * A configuration message for one proxy. Each part is one line on the wire; the proxy applies either all parts of the message
 * or none.
 */
public record ConfigurationUpdate(List<Part> parts) {
    /** Maximum number of parts in a message; a proxy rejects a message with more parts. */
    public static final int MAX_PARTS = 64;

    /** The nonce of a part that requests no acknowledgement. */
    public static final int WITHOUT_NONCE = -1;

    /** The weight of one host in an endpoint table; a weight of 0 removes the host from the table. */
    public record TableEntry(String host, double weight) {}

    /**
     * The admission ratio and the retry policy of an operation.
     *
     * @param admissionRatio the admitted fraction of the requests, or a request rate per second in deployments that measure
     *     admission as a rate
     * @param retryPolicyCode one of the constants of {@link RetryPolicyCode}
     */
    public record AdmissionPolicy(double admissionRatio, int retryPolicyCode) {}

    /**
     * One part of a configuration message.
     *
     * @param operations names of the operations that the part applies to; empty for all operations
     * @param replacesTable whether the entries are the complete table: other entries are removed, and admission returns to its
     *     default
     * @param admission the new admission policy, or null if admission does not change
     * @param ejected hosts to eject from all endpoint tables
     * @param restored hosts whose ejection ends with this update
     * @param nonce the nonce that the proxy's acknowledgement must carry, or {@link #WITHOUT_NONCE} to request no
     *     acknowledgement
     */
    public record Part(
            List<String> operations,
            boolean replacesTable,
            List<TableEntry> entries,
            AdmissionPolicy admission,
            List<String> ejected,
            List<String> restored,
            int nonce) {
        int entryCount() {
            int tableCount = (replacesTable ? 1 : 0) + entries.size() + (admission == null ? 0 : 1);
            return tableCount + ejected.size() + restored.size();
        }
    }

    /**
     * Number of entries that the update channel counts for this message in addition to the message overhead and the nonce: one
     * for each table entry, cleared table, admission policy, ejection and restoration.
     */
    public int entryCount() {
        return parts.stream().mapToInt(Part::entryCount).sum();
    }
}
