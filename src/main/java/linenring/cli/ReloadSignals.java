package linenring.cli;

import linenring.log.Log;

/**
 * SIGHUP, from the first moment on: without a handler it ends the process. What comes before there is anything to do is
 * done once, as soon as there is; then each does it, one at a time.
 */
final class ReloadSignals {
    private Runnable what;
    private boolean came;

    private ReloadSignals() {}

    /** Catches them from now on. Where whoever started the process had them ignored, the JVM leaves it so: {@code ignored}. */
    static ReloadSignals caught(Runnable ignored) {
        ReloadSignals hangUps = new ReloadSignals();
        if (ProcessSignals.handle(ProcessSignals.HANG_UP, hangUps::comes)) {
            ignored.run();
        }
        return hangUps;
    }

    private synchronized void comes() {
        if (what == null) {
            came = true;
        } else {
            what.run();
        }
    }

    /** Does this at each from now on, and at once if one has come already; its faults are told and end nothing. */
    synchronized void then(Runnable does, Log log) {
        what = () -> {
            try {
                does.run();
            } catch (RuntimeException e) {
                log.error("fault", "a reload failed: " + e);
            }
        };
        if (came) {
            what.run();
        }
    }
}
