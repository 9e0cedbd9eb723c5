package linenring.cli;

import linenring.log.Log;

/**
 * Handles SIGHUP from the start of the process, since without a handler the signal ends it. Signals that arrive before a
 * reload action is set cause one reload as soon as the action is set; each later signal causes one reload, and reloads
 * run one at a time. Thread-safe: guarded by its own monitor.
 */
final class ReloadSignals {
    private Runnable action; // null until setReloadAction() is called; @GuardedBy("this")
    private boolean isPending; // @GuardedBy("this")

    private ReloadSignals() {}

    /**
     * Installs the handler of SIGHUP.
     *
     * @param ifIgnored action to run if the parent process had set SIGHUP to be ignored; the JVM then keeps ignoring it
     */
    static ReloadSignals install(Runnable ifIgnored) {
        ReloadSignals signals = new ReloadSignals();
        if (ProcessSignals.handle(ProcessSignals.HANG_UP, signals::onSignal)) {
            ifIgnored.run();
        }
        return signals;
    }

    private synchronized void onSignal() {
        if (action == null) {
            isPending = true;
        } else {
            action.run();
        }
    }

    /**
     * Runs the reload at each signal, and at once if a signal is pending. An exception of the reload is logged and does
     * not propagate.
     */
    synchronized void setReloadAction(Runnable reload, Log log) {
        action = () -> {
            try {
                reload.run();
            } catch (RuntimeException failure) {
                log.error("fault", "a reload failed: " + failure);
            }
        };
        if (isPending) {
            action.run();
        }
    }
}
