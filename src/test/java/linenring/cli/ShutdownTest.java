package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShutdownTest {
    private final List<String> done = new ArrayList<>();
    private final Shutdown shutdown = new Shutdown();

    /** SIGTERM comes after the handler is installed and before accepting, at a start or as a handover falls back. */
    @Test
    void acceptsNobodyAfterShutdownHasBegun() {
        assertTrue(shutdown.begin(() -> done.add("drains")));
        shutdown.runUnlessBegun(() -> done.add("accepts"));
        assertFalse(shutdown.begin(() -> done.add("drains again")));
        assertEquals(List.of("drains"), done);
    }

    /** SIGTERM comes while it begins to accept, on the signal's own thread. */
    @Test
    void finishesToAcceptBeforeItDrains() throws Exception {
        Thread signal = new Thread(() -> shutdown.begin(() -> done.add("drains")));
        shutdown.runUnlessBegun(() -> {
            signal.start();
            while (signal.getState() != Thread.State.BLOCKED) {
                Thread.onSpinWait();
            }
            done.add("accepts");
        });
        signal.join();
        assertEquals(List.of("accepts", "drains"), done);
    }
}
