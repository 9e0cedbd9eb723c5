package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShutdownTest {
    private final List<String> actions = new ArrayList<>();
    private final Shutdown shutdown = new Shutdown();

    /**
     * SIGTERM arrives after the handler is installed and before connections are accepted, at a start or when a handover
     * is aborted.
     */
    @Test
    void acceptsNoConnectionsAfterShutdownHasBegun() {
        assertTrue(shutdown.begin(() -> actions.add("drains")));
        shutdown.runUnlessBegun(() -> actions.add("accepts"));
        assertFalse(shutdown.begin(() -> actions.add("drains again")));
        assertEquals(List.of("drains"), actions);
    }

    /** SIGTERM arrives, on the signal's thread, while the process starts to accept connections. */
    @Test
    void finishesStartingToAcceptBeforeDraining() throws Exception {
        Thread signalThread = new Thread(() -> shutdown.begin(() -> actions.add("drains")));
        shutdown.runUnlessBegun(() -> {
            signalThread.start();
            while (signalThread.getState() != Thread.State.BLOCKED) {
                Thread.onSpinWait();
            }
            actions.add("accepts");
        });
        signalThread.join();
        assertEquals(List.of("accepts", "drains"), actions);
    }
}
