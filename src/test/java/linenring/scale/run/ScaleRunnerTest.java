package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.Sweep;
import linenring.scale.measurement.Variable;
import linenring.scale.measurement.Workload;
import linenring.scale.settings.ScalePlan;
import org.junit.jupiter.api.Test;

class ScaleRunnerTest {
    private static final Workload WORKLOAD = new Workload(64, 64, 8, 4, 3, 2, 1, 20, 0);
    private static final long ENOUGH_BYTES = 8L << 30;

    private final List<ScaleRun> published = new ArrayList<>();

    private ScaleRun run(ScalePlan.Bounds bounds) throws InterruptedException {
        ScalePlan plan = new ScalePlan(
                1,
                3,
                5,
                bounds,
                List.of(new Sweep(Variable.PROXIES, List.of(4.0, 8.0), WORKLOAD)),
                List.of(Scenario.IDLE),
                WORKLOAD);
        return new ScaleRunner(plan, "b1", Progress.NONE, published::add).run();
    }

    private void assertNothingIsMeasured(ScalePlan.Bounds bounds, String failure) throws InterruptedException {
        ScaleRun run = run(bounds);
        assertEquals(
                List.of(failure, failure),
                run.sweeps().get(0).points().stream()
                        .map(point -> point.failure())
                        .toList());
        assertEquals(
                List.of(WORKLOAD.withSize(Variable.PROXIES, 4), WORKLOAD),
                run.sweeps().get(0).points().stream()
                        .map(point -> point.workload())
                        .toList());
        assertEquals(failure, run.scenarios().get(0).failure());
        assertEquals(3, published.size());
        assertEquals(1, published.get(0).sweeps().get(0).points().size());
    }

    @Test
    void reportsPointsThatTheTimeLimitForbids() throws InterruptedException {
        assertNothingIsMeasured(
                new ScalePlan.Bounds(ENOUGH_BYTES, 20, 2), "not run: it could exceed the run's time limit");
    }

    @Test
    void reportsPointsThatTheMemoryLimitForbids() throws InterruptedException {
        assertNothingIsMeasured(
                new ScalePlan.Bounds(1 << 20, 20, 10_000), "not run: it could exceed the run's memory limit");
    }

    @Test
    void reportsPointsThatTheProcessLimitForbids() throws InterruptedException {
        assertNothingIsMeasured(
                new ScalePlan.Bounds(ENOUGH_BYTES, 1, 10_000),
                "not run: it needs more processes than the run's limit permits");
    }
}
