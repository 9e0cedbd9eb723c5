package linenring.scale.measurement;

import java.util.List;

/**
 * A whole run, or what there is of one that has not ended.
 *
 * @param build the commit or release that was measured
 * @param startedAt when it began, ISO 8601
 * @param seed of all random numbers
 * @param cores cores of the machine
 * @param machine processor and memory, as text
 * @param warmUpSeconds how long each point ran before it was measured
 * @param windowSeconds how long each point was measured
 */
public record ScaleRun(
        String build,
        String startedAt,
        long seed,
        int cores,
        String machine,
        double warmUpSeconds,
        double windowSeconds,
        List<MeasuredSweep> sweeps,
        List<ScenarioOutcome> scenarios) {
    /** Copies the lists, so that the value can't change. */
    public ScaleRun {
        sweeps = List.copyOf(sweeps);
        scenarios = List.copyOf(scenarios);
    }
}
