package linenring.cli;

import linenring.log.Log;

/**
 * SIGHUP, from the first moment on: without a handler it ends the process. A signal that comes before there is anything to
 * reload is acted on once, as soon as there is; then each is, one at a time. Thread-safe: guarded by its own monitor.
 */
final class ReloadSignals {
    private Runnable action; // null before there is anything to reload; @GuardedBy("this")
    private boolean isPending; // @GuardedBy("this")

    private ReloadSignals() {}

    /** Handles them from now on. Where the parent process had them ignored, the JVM leaves it so: {@code ifIgnored} is run. */
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

    /** Runs the reload at each signal from now on, and at once if one has come already; its faults are logged and end nothing. */
    synchronized void onEach(Runnable reload, Log log) {
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
