package linenring.scale.run;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits for a condition that depends on other threads or processes.
 *
 * @param timeoutSeconds the time after which a test that hangs is ended; tests assert nothing about durations
 */
record Await(long timeoutSeconds) {
    private static final long POLL_MS = 20;

    /** Waits for the condition; returns whether it was true before the timeout. */
    boolean until(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = deadlineNanos();
        while (!condition.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        return condition.getAsBoolean();
    }

    /** Returns the time at which a wait that starts now times out, by {@link System#nanoTime}. */
    long deadlineNanos() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
    }
}
