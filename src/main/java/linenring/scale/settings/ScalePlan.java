package linenring.scale.settings;

import java.util.List;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.Sweep;
import linenring.scale.measurement.Workload;

/**
 * What a scale run measures.
 *
 * @param seed of all random numbers
 * @param warmUpSeconds how long each point runs before it is measured
 * @param windowSeconds how long each point is measured
 * @param scenarioWorkload the load on the controller while scenarios are played
 */
public record ScalePlan(
        long seed,
        double warmUpSeconds,
        double windowSeconds,
        Bounds bounds,
        List<Sweep> sweeps,
        List<Scenario> scenarios,
        Workload scenarioWorkload) {
    /** Copies the lists, so that the value can't change. */
    public ScalePlan {
        sweeps = List.copyOf(sweeps);
        scenarios = List.copyOf(scenarios);
    }

    /** The same run with another seed. */
    public ScalePlan withSeed(long otherSeed) {
        return new ScalePlan(otherSeed, warmUpSeconds, windowSeconds, bounds, sweeps, scenarios, scenarioWorkload);
    }

    /**
     * The limits of a run.
     *
     * @param memoryBytes no point begins if this process and one real controller beside it would use more
     * @param processes limit of processes, this one included
     * @param seconds no point and no scenario begins that could end later
     */
    public record Bounds(long memoryBytes, int processes, double seconds) {}

    /** The minimum time that the sweeps take: warm-up and window of each point. */
    public double sweepSeconds() {
        int points = sweeps.stream().mapToInt(sweep -> sweep.sizes().size()).sum();
        return points * (warmUpSeconds + windowSeconds);
    }
}
