package linenring.scale.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.ScaleRun;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.ScenarioOutcome;
import linenring.scale.measurement.Sweep;
import linenring.scale.measurement.Workload;
import linenring.scale.settings.ScalePlan;

/** Runs the sweeps of a plan point by point, then its scenarios. The run ends within the time limit of the plan. */
public final class ScaleRunner {
    private static final String OUT_OF_TIME = "not run: it could exceed the run's time limit";
    private static final String OUT_OF_MEMORY = "not run: it could exceed the run's memory limit";
    private static final String TOO_FEW_PROCESSES = "not run: it needs more processes than the run's limit permits";
    /** Memory to reserve for each real controller; more than its JVM flags permit. */
    private static final long CONTROLLER_BYTES = 256L << 20;

    private static final double SECOND_MS = 1000;

    private final ScalePlan plan;
    private final String build;
    private final Progress progress;
    private final Consumer<ScaleRun> listener;
    private final Instant startedAt = Instant.now();
    private final List<MeasuredSweep> sweeps = new ArrayList<>();
    private final List<ScenarioOutcome> scenarios = new ArrayList<>();

    /** Creates a runner that passes all results measured so far to {@code listener} after each point and each scenario. */
    public ScaleRunner(ScalePlan plan, String build, Progress progress, Consumer<ScaleRun> listener) {
        this.plan = plan;
        this.build = build;
        this.progress = progress;
        this.listener = listener;
    }

    /** Runs all sweeps and scenarios; a point or scenario that the plan's limits do not permit is recorded as failed. */
    public ScaleRun run() throws InterruptedException {
        for (Sweep sweep : plan.sweeps()) {
            run(sweep);
        }
        for (Scenario scenario : plan.scenarios()) {
            scenarios.add(play(scenario));
            listener.accept(result());
        }
        return result();
    }

    private void run(Sweep sweep) throws InterruptedException {
        List<Point> points = new ArrayList<>();
        sweeps.add(new MeasuredSweep(sweep.variable(), sweep.base(), points));
        for (double size : sweep.sizes()) {
            progress.report(sweep.variable().description() + ": " + size);
            points.add(measure(size, sweep.base().withSize(sweep.variable(), size)));
            sweeps.set(sweeps.size() - 1, new MeasuredSweep(sweep.variable(), sweep.base(), points));
            listener.accept(result());
        }
    }

    private Point measure(double size, Workload workload) throws InterruptedException {
        PointRunner runner = new PointRunner(plan.warmUpSeconds(), plan.windowSeconds(), plan.seed(), progress);
        String limit = exceededLimit(runner.minSeconds(), PointRunner.realControllers(workload));
        if (limit != null) {
            return new Point(size, workload, null, null, limit);
        }
        try {
            return runner.measure(size, workload, secondsLeft());
        } catch (InterruptedException interrupted) {
            throw interrupted;
        } catch (Exception failed) { // a failed point must not stop the remaining points
            return new Point(size, workload, null, null, "measurement failed: " + failed);
        }
    }

    private ScenarioOutcome play(Scenario scenario) throws InterruptedException {
        progress.report("scenario: " + scenario.description());
        String limit = exceededLimit(ScenarioPlayer.MAX_SECONDS, 1);
        if (limit != null) {
            return ScenarioPlayer.failedOutcome(scenario, plan.scenarioWorkload(), limit);
        }
        try {
            return new ScenarioPlayer(plan.seed(), progress).play(scenario, plan.scenarioWorkload());
        } catch (InterruptedException interrupted) {
            throw interrupted;
        } catch (Exception failed) { // a failed scenario must not stop the remaining scenarios
            return ScenarioPlayer.failedOutcome(scenario, plan.scenarioWorkload(), "measurement failed: " + failed);
        }
    }

    /**
     * Returns the failure text of the limit that a measurement of this duration with these real controllers could exceed, or
     * null.
     */
    private String exceededLimit(double seconds, int realControllers) {
        if (plan.bounds().processes() < 1 + realControllers) {
            return TOO_FEW_PROCESSES;
        }
        if (secondsLeft() < seconds) {
            return OUT_OF_TIME;
        }
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        long used = runtime.totalMemory() - runtime.freeMemory();
        return used + realControllers * CONTROLLER_BYTES > plan.bounds().memoryBytes() ? OUT_OF_MEMORY : null;
    }

    private double secondsLeft() {
        return plan.bounds().seconds()
                - Duration.between(startedAt, Instant.now()).toMillis() / SECOND_MS;
    }

    private ScaleRun result() {
        return new ScaleRun(
                build,
                startedAt.truncatedTo(ChronoUnit.SECONDS).toString(),
                plan.seed(),
                Runtime.getRuntime().availableProcessors(),
                machine(),
                plan.warmUpSeconds(),
                plan.windowSeconds(),
                sweeps,
                scenarios);
    }

    /** Describes the processor, memory and load average of the machine; the load includes other processes. */
    private static String machine() {
        return "%s; %s memory; load average %s, including this run"
                .formatted(
                        firstMatch("/proc/cpuinfo", "model name\\s*: (.*)"),
                        firstMatch("/proc/meminfo", "MemTotal:\\s+(.*)"),
                        firstMatch("/proc/loadavg", "(\\S+ \\S+ \\S+)"));
    }

    private static String firstMatch(String file, String pattern) {
        try {
            Matcher matcher = Pattern.compile(pattern).matcher(Files.readString(Path.of(file)));
            return matcher.find() ? matcher.group(1).strip() : "unknown";
        } catch (IOException unreadable) {
            return "unknown";
        }
    }
}
