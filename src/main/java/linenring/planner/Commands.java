package linenring.planner;

/**
 * Output of the planner: the commands that carry out its decisions. All commands of one reconciliation take effect
 * together: each affected proxy receives its commands as one message, in the order in which they were issued. Hosts,
 * proxies, tables and operations are identified by small indices; times are milliseconds on the clock of the
 * planner's inputs.
 */
public interface Commands {
    /** Writes a host's entry in a table; weight 0 removes the entry. */
    void setWeight(int table, int host, double weight);

    /** Removes all entries and all admission ratios from a table. */
    void clearTable(int table);

    /** Ejects a host from, or restores it in, every table that connected proxies hold. */
    void setEjected(int host, boolean ejected);

    /**
     * Binds a proxy to a table for the operations in the mask: bit k represents operation k, and 0 for all
     * operations.
     */
    void bindProxy(int table, int operations, int proxy);

    /**
     * Number of entries that binding the proxy would take in addition to the table's entries, admission ratios and
     * ejected hosts. The planner calls this method before the bind, to keep the channel queue within its limit.
     */
    int extraEntriesOfBind(int table, int proxy);

    /**
     * Number of entries that writing this host's weight would take at the proxy in addition to the weight itself,
     * since the host may have to be restored or ejected at this proxy. The planner calls this method before it writes
     * the weight.
     */
    int extraEntriesOfWeight(int host, int proxy);

    /**
     * Sets the admission ratio of the operations in the mask, in the unit given by the settings' {@link
     * PlannerSettings.AdmissionUnit}, and how proxies retry these operations.
     */
    void setAdmission(int table, int operations, double admissionRatio, RetryPolicy retryPolicy);

    /**
     * Requests an acknowledgement with this nonce from each proxy that receives a message of this reconciliation. A
     * proxy acknowledges a message once it has applied it.
     */
    void requestAcknowledgement(int nonce);

    /**
     * Number of entries in the message to a proxy, without message overhead and nonce. The planner calls this method
     * after all commands of the message are issued, and passes the number of entries that it expects.
     */
    double entriesInMessage(int proxy, double expectedEntries);

    /** Requests a call of {@link Planner#reconcile} at the given time. */
    void requestCall(double atMs);

    /** Subscribes to changes of the host list. */
    void watchHostList();

    /** Whether and how often a proxy retries a failed request at another host. */
    enum RetryPolicy {
        /** No retry. */
        NONE,
        /** One retry, only if the failed attempt is known not to have been executed. */
        ONE_IF_NOT_EXECUTED,
        /** One retry after any failed attempt. */
        ONE,
        /** Up to two retries after any failed attempt. */
        TWO
    }
}
