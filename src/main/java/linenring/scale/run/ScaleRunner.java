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

/** A whole run: sweep after sweep, point after point, then the scenarios; it ends by itself within its bound of time. */
public final class ScaleRunner {
    private static final String TIME_IS_UP = "not run: the run's time was up";
    private static final String MEMORY_IS_UP = "not run: the run's memory was up";
    private static final String TOO_FEW_PROCESSES = "not run: the run may not start so many processes";
    private static final long STEWARD_BYTES = 256L << 20; // more than its flags let a real one have

    private final ScalePlan plan;
    private final String build;
    private final Progress progress;
    private final Consumer<ScaleRun> soFar;
    private final Instant startedAt = Instant.now();
    private final List<MeasuredSweep> sweeps = new ArrayList<>();
    private final List<ScenarioOutcome> scenarios = new ArrayList<>();

    /** {@code soFar} is told what there is after each point and each scenario. */
    public ScaleRunner(ScalePlan plan, String build, Progress progress, Consumer<ScaleRun> soFar) {
        this.plan = plan;
        this.build = build;
        this.progress = progress;
        this.soFar = soFar;
    }

    public ScaleRun run() throws InterruptedException {
        for (Sweep sweep : plan.sweeps()) {
            run(sweep);
        }
        for (Scenario scenario : plan.scenarios()) {
            scenarios.add(play(scenario));
            soFar.accept(result());
        }
        return result();
    }

    private void run(Sweep sweep) throws InterruptedException {
        List<Point> points = new ArrayList<>();
        sweeps.add(new MeasuredSweep(sweep.variable(), sweep.base(), points));
        for (double size : sweep.sizes()) {
            progress.say(sweep.variable().description() + ": " + size);
            points.add(measure(size, sweep.base().with(sweep.variable(), size)));
            sweeps.set(sweeps.size() - 1, new MeasuredSweep(sweep.variable(), sweep.base(), points));
            soFar.accept(result());
        }
    }

    private Point measure(double size, Workload workload) throws InterruptedException {
        PointRunner runner = new PointRunner(plan.warmUpSeconds(), plan.windowSeconds(), plan.seed(), progress);
        String beyond = beyondBounds(runner.secondsAtLeast(), PointRunner.realStewards(workload));
        if (beyond != null) {
            return new Point(size, workload, null, null, beyond);
        }
        try {
            return runner.measure(size, workload, secondsLeft());
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) { // whatever it is, it ends this point and no more
            return new Point(size, workload, null, null, "fault of the measurement: " + e);
        }
    }

    private ScenarioOutcome play(Scenario scenario) throws InterruptedException {
        progress.say("scenario: " + scenario.description());
        String beyond = beyondBounds(ScenarioPlayer.SECONDS_AT_MOST, 1);
        if (beyond != null) {
            return ScenarioPlayer.failed(scenario, plan.scenarioWorkload(), beyond);
        }
        try {
            return new ScenarioPlayer(plan.seed(), progress).play(scenario, plan.scenarioWorkload());
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) { // whatever it is, it ends this scenario and no more
            return ScenarioPlayer.failed(scenario, plan.scenarioWorkload(), "fault of the measurement: " + e);
        }
    }

    /** Which bound keeps what takes so many seconds and real stewards from being run, in words, or null. */
    private String beyondBounds(double seconds, int realStewards) {
        if (plan.bounds().processes() < 1 + realStewards) {
            return TOO_FEW_PROCESSES;
        }
        if (secondsLeft() < seconds) {
            return TIME_IS_UP;
        }
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        long used = runtime.totalMemory() - runtime.freeMemory();
        return used + realStewards * STEWARD_BYTES > plan.bounds().memoryBytes() ? MEMORY_IS_UP : null;
    }

    private double secondsLeft() {
        return plan.bounds().seconds()
                - Duration.between(startedAt, Instant.now()).toMillis() / 1000.0;
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
                        first("/proc/cpuinfo", "model name\\s*: (.*)"),
                        first("/proc/meminfo", "MemTotal:\\s+(.*)"),
                        first("/proc/loadavg", "(\\S+ \\S+ \\S+)"));
    }

    private static String first(String file, String pattern) {
        try {
            Matcher found = Pattern.compile(pattern).matcher(Files.readString(Path.of(file)));
            return found.find() ? found.group(1).strip() : "unknown";
        } catch (IOException e) {
            return "unknown";
        }
    }
}
