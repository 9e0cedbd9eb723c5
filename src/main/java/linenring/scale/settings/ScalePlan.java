package linenring.scale.settings;

import java.util.List;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.Sweep;
import linenring.scale.measurement.Workload;

/**
 * What a scale run is to measure.
 *
 * @param seed for all that is drawn by chance
 * @param warmUpSeconds how long each point runs before it is measured
 * @param windowSeconds how long each point is measured
 * @param scenarioWorkload what the steward bears while scenarios are played
 */
public record ScalePlan(
        long seed,
        double warmUpSeconds,
        double windowSeconds,
        Bounds bounds,
        List<Sweep> sweeps,
        List<Scenario> scenarios,
        Workload scenarioWorkload) {
    public ScalePlan {
        sweeps = List.copyOf(sweeps);
        scenarios = List.copyOf(scenarios);
    }

    /** The same run with another seed. */
    public ScalePlan withSeed(long other) {
        return new ScalePlan(other, warmUpSeconds, windowSeconds, bounds, sweeps, scenarios, scenarioWorkload);
    }

    /**
     * What a run may use at most.
     *
     * @param memoryBytes no point begins where this process uses so much already, with a real steward's share beside it
     * @param processes this one included
     * @param seconds no point and no scenario begins that could end later
     */
    public record Bounds(long memoryBytes, int processes, double seconds) {}

    /** The least time that the sweeps take: warm-up and window of each point. */
    public double sweepSeconds() {
        int points = sweeps.stream().mapToInt(sweep -> sweep.sizes().size()).sum();
        return points * (warmUpSeconds + windowSeconds);
    }
}
