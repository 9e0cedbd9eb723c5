package linenring.planner;

/**
 * What the decisions call to give orders. All orders of one input take effect together: each proxy concerned
 * gets them as one message, in the order given. Hosts, proxies, tables and operations are small indices;
 * times are milliseconds on the clock that the inputs carry.
 */
public interface Commands {
    /** Sets one line of a table; weight 0 takes it out. */
    void setWeight(int table, int host, double weight);

    /** Takes all lines and levels out of a table. */
    void clearTable(int table);

    /** Shuts a host out of every table that joined proxies hold, or lets it back in. */
    void setEjected(int host, boolean out);

    /** Puts a proxy on a table for the operations in the mask (bit k for operation k; 0 for all). */
    void bindProxy(int table, int operations, int proxy);

    /**
     * How many lines a bind would take beyond the table's own, its levels and its withdrawn hosts; asked before it is
     * ordered, as the channel may hold only so many.
     */
    int extraEntriesOfBind(int table, int proxy);

    /**
     * How many lines one for this host would take at a proxy beyond itself: it may have to be let back there, or shut out;
     * asked before it is ordered.
     */
    int extraEntriesOfWeight(int host, int proxy);

    /** Sets how much of the operations is let in, and how proxies try again. */
    void setAdmission(int table, int operations, double admissionRatio, RetryPolicy tries);

    /** Asks each proxy that gets a message of this input to answer with this mark once it has applied it. */
    void requestAcknowledgement(int mark);

    /**
     * Tells how many lines the message to a proxy takes beside its head and the mark, where so many are reckoned
     * with. Asked once all that it holds is ordered.
     */
    double entriesInMessage(int proxy, double reckoned);

    /** Asks for a call of {@code requestCall} at that time. */
    void requestCall(double at);

    /** Asks to be kept told of changes to the list. */
    void watchHostList();

    /** When a proxy sends an invocation to another host. */
    enum RetryPolicy {
        NONE,
        ONE_IF_NOT_EXECUTED,
        ONE,
        TWO
    }
}
