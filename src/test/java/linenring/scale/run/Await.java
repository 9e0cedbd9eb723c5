package linenring.scale.run;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits for a condition that other threads or processes bring about.
 *
 * @param timeoutSeconds no assertion on time: it only ends a test that hangs
 */
record Await(long timeoutSeconds) {
    private static final long POLL_MS = 20;

    /** Whether the condition came to hold before the timeout. */
    boolean until(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = deadlineNanos();
        while (!condition.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        return condition.getAsBoolean();
    }

    /** When a wait that begins now has to be given up, by {@link System#nanoTime}. */
    long deadlineNanos() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
    }
}
