package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import linenring.scale.process.ProcessorTimes;
import org.junit.jupiter.api.Test;

class PeakShareTest {
    private static final long NANOS_PER_MS = 1_000_000;

    private final PeakShare share = new PeakShare();

    private void read(long readMs, long usedMs) {
        share.add(new ProcessorTimes(readMs * NANOS_PER_MS, usedMs * NANOS_PER_MS, Map.of()));
    }

    @Test
    void reportsThePeakOverASecondAndNotOverAMoment() {
        read(0, 0);
        read(500, 10);
        read(600, 110); // 100% for a tenth of a second
        read(1000, 130);
        read(1500, 230);
        read(2500, 240);
        assertEquals(0.22, share.peak(), 1e-9);
    }

    @Test
    void startsAgainWithAnotherProcess() {
        read(0, 900);
        read(1000, 1000);
        read(1100, 20);
        read(2100, 520);
        assertEquals(0.5, share.peak(), 1e-9);
    }

    @Test
    void isZeroBeforeASecondIsOver() {
        read(0, 0);
        read(900, 900);
        assertEquals(0, share.peak());
    }
}
