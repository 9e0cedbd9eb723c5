package linenring.protocol;

import java.util.List;

/**
 * One message of configuration to one proxy. Its parts are lines of their own on the wire; the proxy applies all of them
 * together or none.
 */
public record ConfigurationUpdate(List<Part> parts) {
    /** A proxy rejects a message of more parts. */
    public static final int MAX_PARTS = 64;

    /** Stands for a part that asks for no acknowledgement. */
    public static final int WITHOUT_NONCE = -1;

    /** The weight of one host in an endpoint table; a weight of 0 removes the host. */
    public record TableEntry(String host, double weight) {}

    /**
     * How much of an operation's traffic proxies admit, and how they retry.
     *
     * @param admissionRatio the admitted share, or requests a second where the deployment measures admission so
     * @param retryPolicyCode one of {@link RetryPolicyCode}
     */
    public record AdmissionPolicy(double admissionRatio, int retryPolicyCode) {}

    /**
     * One part of a message.
     *
     * @param operations names of the operations that it is for; empty for all
     * @param replacesTable the entries are the whole table: others are removed, and admission returns to its default
     * @param admission null where admission does not change
     * @param ejected hosts to eject from every table
     * @param restored hosts whose ejection ends
     * @param nonce asks for an acknowledgement that carries it; {@link #WITHOUT_NONCE} for none
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
            int inTable = (replacesTable ? 1 : 0) + entries.size() + (admission == null ? 0 : 1);
            return inTable + ejected.size() + restored.size();
        }
    }

    /**
     * How many entries the channel counts for this message beside its head and nonce: one for each table entry, cleared
     * table, admission policy, ejection and restoration.
     */
    public int entryCount() {
        return parts.stream().mapToInt(Part::entryCount).sum();
    }
}
