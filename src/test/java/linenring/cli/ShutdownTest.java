package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShutdownTest {
    private final List<String> done = new ArrayList<>();
    private final Shutdown ending = new Shutdown();

    /** SIGTERM comes between the handler's setting and the accepting, at a start or as a hand-over falls back. */
    @Test
    void whoIsToldToEndBeforeItAcceptsAcceptsNobody() {
        assertTrue(ending.begins(() -> done.add("drains")));
        ending.unlessBegun(() -> done.add("accepts"));
        assertFalse(ending.begins(() -> done.add("drains again")));
        assertEquals(List.of("drains"), done);
    }

    /** SIGTERM comes while it begins to accept, on the signal's own thread. */
    @Test
    void whoBeginsToAcceptHasDoneSoBeforeItDrains() throws Exception {
        Thread signal = new Thread(() -> ending.begins(() -> done.add("drains")));
        ending.unlessBegun(() -> {
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
