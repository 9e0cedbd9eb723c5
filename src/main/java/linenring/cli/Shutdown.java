package linenring.cli;

/**
 * Records whether the shutdown of the process has begun, and serializes its beginning with other actions, such as starting to
 * accept connections. Accepting after the shutdown has begun would cancel the drain, and the process would neither serve nor
 * end. Thread-safe: guarded by its own monitor.
 */
final class Shutdown {
    private boolean hasBegun; // @GuardedBy("this")

    /** Begins the shutdown by running the action; returns false, without running it, if the shutdown has begun before. */
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
