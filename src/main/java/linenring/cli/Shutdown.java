package linenring.cli;

/**
 * Whether the process has been told to end. Accepting and the beginning of the end come one after the other, in either order:
 * what accepts after it would call off the drain, and the process would neither serve nor end.
 */
final class Shutdown {
    private boolean told;

    /** It is told to end; begins to, at the first time alone. False where it had been told before. */
    synchronized boolean begins(Runnable end) {
        boolean first = !told;
        told = true;
        if (first) {
            end.run();
        }
        return first;
    }

    /** Does this unless the process has been told to end. */
    synchronized void unlessBegun(Runnable accepts) {
        if (!told) {
            accepts.run();
        }
    }
}
