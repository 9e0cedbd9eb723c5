package linenring.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import linenring.routing.StallDetector.Stall;
import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private final StallDetector stalls = new StallDetector(100);

    @Test
    void reportsClientThatTakesNothingForMaxStall() {
        stalls.clientWriteStarted(1000);
        assertEquals(Stall.NONE, stalls.check(1099));
        assertEquals(Stall.CLIENT, stalls.check(1100));
        stalls.clientWriteEnded();
        assertEquals(Stall.NONE, stalls.check(5000));
    }

    @Test
    void reportsHostThatSendsNothingForMaxStall() {
        stalls.hostWaitStarted(1000);
        assertEquals(Stall.HOST, stalls.check(1100));
        stalls.hostWaitEnded();
        assertEquals(Stall.NONE, stalls.check(5000));
    }

    /** A slow answer is not ended: every piece starts the time anew. */
    @Test
    void reportsNothingWhilePiecesMoveOn() {
        for (long nowNanos = 1000; nowNanos < 10_000; nowNanos += 99) {
            assertEquals(Stall.NONE, stalls.check(nowNanos));
            stalls.clientWriteStarted(nowNanos);
        }
        stalls.stop();
        assertEquals(Stall.NONE, stalls.check(50_000));
    }
}
