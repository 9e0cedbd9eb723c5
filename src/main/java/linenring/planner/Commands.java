package linenring.planner;

/**
 * What the decisions call to give orders. All orders of one input take effect together: each proxy concerned
 * gets them as one message, in the order given. Hosts, proxies, tables and operations are small indices;
 * times are milliseconds on the clock that the inputs carry.
 */
public interface Commands {
    /** A table number that stands for all proxies, in {@link #level} alone. */
    int EVERY_TABLE = -1;

    /** Sets one line of a table; weight 0 takes it out. */
    void line(int table, int host, double weight);

    /** Takes all lines and levels out of a table. */
    void wipe(int table);

    /** Shuts a host out of every table that joined proxies hold, or lets it back in. */
    void withdraw(int host, boolean out);

    /** Puts a proxy on a table for the operations in the mask (bit k for operation k; 0 for all). */
    void bind(int table, int operations, int proxy);

    /**
     * How many lines a bind would take beyond the table's own, its levels and its withdrawn hosts; asked before it is
     * ordered, as the channel may hold only so many.
     */
    int bindBrings(int table, int proxy);

    /**
     * How many lines one for this host would take at a proxy beyond itself: it may have to be let back there, or shut out;
     * asked before it is ordered.
     */
    int lineBrings(int host, int proxy);

    /** Sets how much of the operations is let in, and how proxies try again. */
    void level(int table, int operations, double letIn, RetryPolicy tries);

    /** Asks each proxy that gets a message of this input to answer with this mark once it has applied it. */
    void barrier(int mark, boolean everyProxy);

    /**
     * Tells how many lines the message to a proxy takes beside its head and the mark, where so many are reckoned
     * with. Asked once all that it holds is ordered.
     */
    double lines(int proxy, double reckoned);

    /** Asks a host for a sign of life. */
    void probe(int host);

    /** Asks for a call of {@code timer} at that time. */
    void timer(double at, long handle);

    /** Asks for the whole list once. */
    void askList();

    /** Asks to be kept told of changes to the list. */
    void followList();

    /** Leaves a line for the staff. */
    void note(String words);

    /** When a proxy sends an invocation to another host. */
    enum RetryPolicy {
        NONE,
        ONE_ON_PROOF,
        ONE,
        TWO
    }
}
