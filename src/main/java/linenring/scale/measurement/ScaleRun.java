package linenring.scale.measurement;

import java.util.List;

/**
 * A whole run, or what there is of one that has not ended.
 *
 * @param build the commit or release that was measured
 * @param startedAt when it began, ISO 8601
 * @param cores cores of the machine
 * @param machine processor and memory in words
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
    public ScaleRun {
        sweeps = List.copyOf(sweeps);
        scenarios = List.copyOf(scenarios);
    }
}
