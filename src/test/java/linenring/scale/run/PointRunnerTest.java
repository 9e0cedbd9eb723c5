package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import linenring.scale.measurement.Point;
import linenring.scale.measurement.Workload;
import org.junit.jupiter.api.Test;

/** Tests that a measured point has all values and that its traffic is counted; the sizes of the values are not checked. */
class PointRunnerTest {
    private static final double ENOUGH_SECONDS = 120;

    @Test
    void measuresARealAndASimulatedControllerUnderTheSameWorkload() throws Exception {
        Workload workload = new Workload(32, 32, 4, 4, 2, 2, 4, 40, 0);
        Point point = new PointRunner(0.5, 1.5, 1, Progress.NONE).measure(32, workload, ENOUGH_SECONDS);
        assertNull(point.failure());
        assertNotNull(point.real());
        assertNotNull(point.hollow());
        assertTrue(point.real().processorShare() > 0);
        assertTrue(point.real().residentBytes() > 1 << 20);
        assertTrue(point.real().bytesInPerSecond() > 0 && point.real().bytesOutPerSecond() > 0);
        assertTrue(point.real().messagesInPerSecond() > 0);
        assertTrue(point.hollow().processorShare() > 0 && point.hollow().messagesInPerSecond() > 0);
    }

    @Test
    void runsOneRealControllerInEightAndAtMostFour() {
        int[][] cases = {{1, 1}, {2, 1}, {8, 1}, {16, 2}, {33, 4}, {200, 4}};
        for (int[] controllersAndReal : cases) {
            assertEquals(
                    controllersAndReal[1],
                    PointRunner.realControllers(new Workload(64, 64, 8, 4, 3, controllersAndReal[0], 0, 0, 0)));
        }
    }
}
