package linenring.scale.measurement;

import java.util.List;

/**
 * The results of a scale run: complete, or those measured so far while the run is in progress.
 *
 * @param build the commit or release that was measured
 * @param startedAt the time at which the run started, in ISO 8601 format
 * @param seed the seed of all random numbers of the run
 * @param cores the number of processor cores that the JVM reports
 * @param machine the processor model, memory and load average of the machine, as text
 * @param warmUpSeconds the time for which each point ran before its measurement window
 * @param windowSeconds the length of the measurement window of each point
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
    /** Copies the sweeps and scenarios, so that the record is immutable. */
    public ScaleRun {
        sweeps = List.copyOf(sweeps);
        scenarios = List.copyOf(scenarios);
    }
}
