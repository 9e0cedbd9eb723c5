package linenring.cli;

/**
 * Whether the process shuts down. Accepting and the beginning of a shutdown come one after the other, in either order: accepting
 * after it would cancel the drain, and the process would neither serve nor end. Thread-safe: guarded by its own monitor.
 */
final class Shutdown {
    private boolean hasBegun; // @GuardedBy("this")

    /** Begins the shutdown; false, and nothing is run, where it has begun before. */
    synchronized boolean begin(Runnable action) {
        if (hasBegun) {
            return false;
        }
        hasBegun = true;
        action.run();
        return true;
    }

    /** Runs the action unless the shutdown has begun. */
    synchronized void runUnlessBegun(Runnable action) {
        if (!hasBegun) {
            action.run();
        }
    }
}
