package linenring.scale.settings;

import java.util.List;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.Sweep;
import linenring.scale.measurement.Workload;

/**
 * The plan of a scale run: its sweeps, scenarios and limits.
 *
 * @param seed the seed of all random numbers of the run
 * @param warmUpSeconds the time for which each point runs before its measurement window
 * @param windowSeconds the length of the measurement window of each point
 * @param scenarioWorkload the load on the controller during scenarios
 */
public record ScalePlan(
        long seed,
        double warmUpSeconds,
        double windowSeconds,
        Bounds bounds,
        List<Sweep> sweeps,
        List<Scenario> scenarios,
        Workload scenarioWorkload) {
    /** Copies the sweeps and scenarios, so that the record is immutable. */
    public ScalePlan {
        sweeps = List.copyOf(sweeps);
        scenarios = List.copyOf(scenarios);
    }

    /** Returns this plan with another seed. */
    public ScalePlan withSeed(long otherSeed) {
        return new ScalePlan(otherSeed, warmUpSeconds, windowSeconds, bounds, sweeps, scenarios, scenarioWorkload);
    }

    /**
     * The limits of a scale run.
     *
     * @param memoryBytes the memory limit; a measurement is skipped if the heap of this process and the real controllers of
     *     the
     *     measurement would need more
     * @param processes the limit on the number of processes, this process included
     * @param seconds the time limit of the run; a point or scenario that could end later is skipped
     */
    public record Bounds(long memoryBytes, int processes, double seconds) {}

    /** Returns the minimum duration of the sweeps: the warm-up and measurement window of each point. */
    public double sweepSeconds() {
        int points = sweeps.stream().mapToInt(sweep -> sweep.sizes().size()).sum();
        return points * (warmUpSeconds + windowSeconds);
    }
}
