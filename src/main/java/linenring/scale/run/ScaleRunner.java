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

/** Runs a plan: sweep after sweep, point after point, then the scenarios. It ends by itself within the plan's time. */
public final class ScaleRunner {
    private static final String OUT_OF_TIME = "not run: the run's time was up";
    private static final String OUT_OF_MEMORY = "not run: the run's memory was up";
    private static final String TOO_FEW_PROCESSES = "not run: the run may not start so many processes";
    /** More than its flags allow a real controller. */
    private static final long CONTROLLER_BYTES = 256L << 20;

    private static final double SECOND_MS = 1000;

    private final ScalePlan plan;
    private final String build;
    private final Progress progress;
    private final Consumer<ScaleRun> listener;
    private final Instant startedAt = Instant.now();
    private final List<MeasuredSweep> sweeps = new ArrayList<>();
    private final List<ScenarioOutcome> scenarios = new ArrayList<>();

    /** The {@code listener} gets the results so far after each point and each scenario. */
    public ScaleRunner(ScalePlan plan, String build, Progress progress, Consumer<ScaleRun> listener) {
        this.plan = plan;
        this.build = build;
        this.progress = progress;
        this.listener = listener;
    }

    /** Measures everything; what the limits do not allow is a failed point. */
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
            points.add(measure(size, sweep.base().with(sweep.variable(), size)));
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
        } catch (Exception failed) { // the other points are measured all the same
            return new Point(size, workload, null, null, "fault of the measurement: " + failed);
        }
    }

    private ScenarioOutcome play(Scenario scenario) throws InterruptedException {
        progress.report("scenario: " + scenario.description());
        String limit = exceededLimit(ScenarioPlayer.MAX_SECONDS, 1);
        if (limit != null) {
            return ScenarioPlayer.failed(scenario, plan.scenarioWorkload(), limit);
        }
        try {
            return new ScenarioPlayer(plan.seed(), progress).play(scenario, plan.scenarioWorkload());
        } catch (InterruptedException interrupted) {
            throw interrupted;
        } catch (Exception failed) { // the other scenarios are played all the same
            return ScenarioPlayer.failed(scenario, plan.scenarioWorkload(), "fault of the measurement: " + failed);
        }
    }

    /** Which limit forbids a measurement of that many seconds and real controllers, as text, or null. */
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

    /** Processor, memory and the load of the machine, that of other work included. */
    private static String machine() {
        return "%s; %s memory; load %s, of which this run is a part"
                .formatted(
                        firstMatch("/proc/cpuinfo", "model name\\s*: (.*)"),
                        firstMatch("/proc/meminfo", "MemTotal:\\s+(.*)"),
                        firstMatch("/proc/loadavg", "(\\S+ \\S+ \\S+)"));
    }

    private static String firstMatch(String file, String pattern) {
        try {
            Matcher found = Pattern.compile(pattern).matcher(Files.readString(Path.of(file)));
            return found.find() ? found.group(1).strip() : "unknown";
        } catch (IOException unreadable) {
            return "unknown";
        }
    }
}
