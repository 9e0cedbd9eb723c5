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

/** A whole run: sweep after sweep, point after point, then the scenarios; it ends by itself within its bound of time. */
public final class ScaleRunner {
    private static final String TIME_IS_UP = "not run: the run's time was up";

    /**
     * What a run is made of.
     *
     * @param build the commit or release that is measured
     * @param scenarioWorkload under which scenarios are played
     * @param secondsAtMost no point and no scenario begins that could end later
     */
    public record Request(
            String build,
            long seed,
            double warmUpSeconds,
            double windowSeconds,
            double secondsAtMost,
            List<Sweep> sweeps,
            List<Scenario> scenarios,
            Workload scenarioWorkload) {
        public Request {
            sweeps = List.copyOf(sweeps);
            scenarios = List.copyOf(scenarios);
        }
    }

    private final Request request;
    private final Progress progress;
    private final Consumer<ScaleRun> soFar;
    private final Instant startedAt = Instant.now();
    private final List<MeasuredSweep> sweeps = new ArrayList<>();
    private final List<ScenarioOutcome> scenarios = new ArrayList<>();

    /** {@code soFar} is told what there is after each point and each scenario. */
    public ScaleRunner(Request request, Progress progress, Consumer<ScaleRun> soFar) {
        this.request = request;
        this.progress = progress;
        this.soFar = soFar;
    }

    public ScaleRun run() throws InterruptedException {
        for (Sweep sweep : request.sweeps()) {
            run(sweep);
        }
        for (Scenario scenario : request.scenarios()) {
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
        PointRunner runner =
                new PointRunner(request.warmUpSeconds(), request.windowSeconds(), request.seed(), progress);
        if (secondsLeft() < runner.secondsAtLeast()) {
            return new Point(size, workload, null, null, TIME_IS_UP);
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
        if (secondsLeft() < ScenarioPlayer.SECONDS_AT_MOST) {
            return ScenarioPlayer.failed(scenario, request.scenarioWorkload(), TIME_IS_UP);
        }
        try {
            return new ScenarioPlayer(request.seed(), progress).play(scenario, request.scenarioWorkload());
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) { // whatever it is, it ends this scenario and no more
            return ScenarioPlayer.failed(scenario, request.scenarioWorkload(), "fault of the measurement: " + e);
        }
    }

    private double secondsLeft() {
        return request.secondsAtMost()
                - Duration.between(startedAt, Instant.now()).toMillis() / 1000.0;
    }

    private ScaleRun result() {
        return new ScaleRun(
                request.build(),
                startedAt.truncatedTo(ChronoUnit.SECONDS).toString(),
                request.seed(),
                Runtime.getRuntime().availableProcessors(),
                machine(),
                request.warmUpSeconds(),
                request.windowSeconds(),
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
