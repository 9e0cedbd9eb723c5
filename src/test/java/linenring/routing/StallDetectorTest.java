package linenring.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import linenring.routing.StallDetector.Stall;
import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private final StallDetector stallDetector = new StallDetector(100);

    @Test
    void reportsClientThatTakesNothingForMaxStall() {
        stallDetector.clientWriteStarted(1000);
        assertEquals(Stall.NONE, stallDetector.check(1099));
        assertEquals(Stall.CLIENT, stallDetector.check(1100));
        stallDetector.clientWriteEnded();
        assertEquals(Stall.NONE, stallDetector.check(5000));
    }

    @Test
    void reportsHostThatSendsNothingForMaxStall() {
        stallDetector.hostWaitStarted(1000);
        assertEquals(Stall.HOST, stallDetector.check(1100));
        stallDetector.hostWaitEnded();
        assertEquals(Stall.NONE, stallDetector.check(5000));
    }

    /** A slow answer is not reported as stalled, since each write restarts the time. */
    @Test
    void reportsNoStallWhileDataKeepsMoving() {
        for (long nowNanos = 1000; nowNanos < 10_000; nowNanos += 99) {
            assertEquals(Stall.NONE, stallDetector.check(nowNanos));
            stallDetector.clientWriteStarted(nowNanos);
        }
        stallDetector.stop();
        assertEquals(Stall.NONE, stallDetector.check(50_000));
    }
}
