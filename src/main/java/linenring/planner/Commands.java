package linenring.planner;

/**
 * What the decisions call to act. All commands of one reconciliation take effect together: each proxy concerned gets them as one
 * message, in the order given. Hosts, proxies, tables and operations are small indices; times are milliseconds on the clock that
 * the inputs carry.
 */
public interface Commands {
    /** Writes the entry of a host in a table; weight 0 removes it. */
    void setWeight(int table, int host, double weight);

    /** Removes all entries and admissions from a table. */
    void clearTable(int table);

    /** Ejects a host from every table that joined proxies hold, or restores it. */
    void setEjected(int host, boolean ejected);

    /** Binds a proxy to a table for the operations in the mask (bit k for operation k; 0 for all). */
    void bindProxy(int table, int operations, int proxy);

    /**
     * Number of entries that a bind would take beyond the table's own, its admissions and its ejected hosts; asked before the bind, as
     * the channel's queue is limited.
     */
    int extraEntriesOfBind(int table, int proxy);

    /**
     * Number of entries that one for this host would take at a proxy beyond itself, as the host may have to be restored there, or ejected;
     * asked before the entry is written.
     */
    int extraEntriesOfWeight(int host, int proxy);

    /** Sets how much of the operations is admitted, in the unit of the settings' measure, and how proxies retry. */
    void setAdmission(int table, int operations, double admissionRatio, RetryPolicy retryPolicy);

    /** Asks each proxy that gets a message of this reconciliation to acknowledge it by this nonce once it has applied it. */
    void requestAcknowledgement(int nonce);

    /**
     * Number of entries that the message to a proxy takes beside its head and the nonce, given the number expected; asked once all
     * commands that it holds are given.
     */
    double entriesInMessage(int proxy, double expected);

    /** Asks for a call of {@link Planner#reconcile} at that time. */
    void requestCall(double atMs);

    /** Asks to be notified of changes to the host list. */
    void watchHostList();

    /** When a proxy retries a request at another host. */
    enum RetryPolicy {
        /** Never. */
        NONE,
        /** Once, on proof that the attempt was not executed. */
        ONE_IF_NOT_EXECUTED,
        /** Once. */
        ONE,
        /** Twice. */
        TWO
    }
}
