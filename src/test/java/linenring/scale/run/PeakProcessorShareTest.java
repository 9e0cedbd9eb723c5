package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import linenring.scale.process.ProcessorTimes;
import org.junit.jupiter.api.Test;

class PeakProcessorShareTest {
    private static final long NANOS_PER_MS = 1_000_000;

    private final PeakProcessorShare share = new PeakProcessorShare();

    private void addReading(long readAtMs, long processorMs) {
        share.add(new ProcessorTimes(readAtMs * NANOS_PER_MS, processorMs * NANOS_PER_MS, Map.of()));
    }

    @Test
    void reportsThePeakOverOneSecondIgnoringShorterBursts() {
        addReading(0, 0);
        addReading(500, 10);
        addReading(600, 110); // a burst of 100% for 0.1 s
        addReading(1000, 130);
        addReading(1500, 230);
        addReading(2500, 240);
        assertEquals(0.22, share.peak(), 1e-9);
    }

    @Test
    void discardsReadingsOfThePreviousProcess() {
        addReading(0, 900);
        addReading(1000, 1000);
        addReading(1100, 20);
        addReading(2100, 520);
        assertEquals(0.5, share.peak(), 1e-9);
    }

    @Test
    void isZeroBeforeReadingsCoverOneSecond() {
        addReading(0, 0);
        addReading(900, 900);
        assertEquals(0, share.peak());
    }
}
