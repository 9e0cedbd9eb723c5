package linenring.scale.run;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import linenring.scale.catalogue.CatalogueEvents;
import linenring.scale.catalogue.CatalogueHost;
import linenring.scale.fleet.Traffic;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.ScenarioOutcome;
import linenring.scale.measurement.Usage;
import linenring.scale.measurement.Workload;
import linenring.scale.process.ProcessorTimes;

/** Plays one scenario to a real and a simulated controller, and waits until the tables of the real one's proxies agree. */
final class ScenarioPlayer {
    /** How long one scenario takes at most. */
    static final double MAX_SECONDS = 260;

    private static final long SETTLE_TIMEOUT_S = 60;
    private static final long CONVERGENCE_TIMEOUT_S = 90;
    /** Before the event: until then the first tables have gone out and hot code is compiled. */
    private static final long QUIET_MS = 15_000;

    /** The minimum time from the event on. */
    private static final long WATCH_MS = 10_000;

    private static final double SECOND_NANOS = 1e9;
    private static final double PERMILLE = 1000;
    private static final double TENTHS = 10;
    private static final long POLL_MS = 100;
    /** If the workload has no changes of its own. */
    private static final double CHURN_PER_SECOND = 10;

    private static final long CHURN_MS = 10_000;
    private static final long ZONE_LOST_MS = 10_000;
    /** Stands for an hour: what counts is how many changes are caught up with. */
    private static final long SILENT_MS = 5000;

    /** 10,000 restarts and 270 failures a day of 73,000 hosts, over an hour. */
    private static final double HOUR_SHARE = 10_270.0 / 24 / 73_000;

    private static final int INVALID_ENTRIES = 5;
    private static final double ROLLING_STEP_SHARE = 0.1;
    private static final long ROLLING_INTERVAL_MS = 2000;

    private final long seed;
    private final Progress progress;
    private final long quietMs;
    private final long watchMs;

    ScenarioPlayer(long seed, Progress progress) {
        this(seed, progress, QUIET_MS, WATCH_MS);
    }

    /** With {@code quietMs} before the event and at least {@code watchMs} after it. */
    ScenarioPlayer(long seed, Progress progress, long quietMs, long watchMs) {
        this.seed = seed;
        this.progress = progress;
        this.quietMs = quietMs;
        this.watchMs = watchMs;
    }

    /** The outcome of a scenario that could not be played. */
    static ScenarioOutcome failed(Scenario scenario, Workload workload, String failure) {
        double none = Double.NaN;
        return new ScenarioOutcome(scenario, workload, null, null, 0, none, none, none, none, failure);
    }

    ScenarioOutcome play(Scenario scenario, Workload workload) throws Exception { // Jetty's start() may throw any
        try (Testbed testbed = new Testbed(workload, seed)) {
            testbed.open(1, 1);
            RealMember real = testbed.real().get(0);
            String failure = testbed.awaitSettled(real, System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_TIMEOUT_S));
            if (failure != null) {
                return failed(scenario, workload, failure);
            }
            testbed.awaitSimulatedSettled(System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_TIMEOUT_S));
            TimeUnit.MILLISECONDS.sleep(quietMs);
            return new Play(scenario, testbed, real).play();
        }
    }

    /** One scenario from its event on. */
    private final class Play {
        private final Scenario scenario;
        private final Testbed testbed;
        private final RealMember real;
        private final boolean completeTables; // each table has all ready hosts, as it had before the event
        private final PeakShare peak = new PeakShare();
        private final StaleHosts stale = new StaleHosts();
        private final long startNanos = System.nanoTime();
        private final Traffic.Counts trafficBefore;
        private final long simulatedNanosBefore;
        private final Traffic.Counts simulatedTrafficBefore;
        private final long changedEntriesBefore;
        private ProcessorTimes first;
        private long eventEndNanos; // 0 while further events are ordered
        private double processorSecondsBeforeRestart;

        Play(Scenario scenario, Testbed testbed, RealMember real) throws IOException {
            this.scenario = scenario;
            this.testbed = testbed;
            this.real = real;
            completeTables = testbed.agreement(real.fleet().fleet(), true).isComplete();
            trafficBefore = real.traffic();
            InProcessMember simulated = testbed.simulated().get(0);
            simulatedNanosBefore = simulated.controller().processorNanos();
            simulatedTrafficBefore = simulated.connection().traffic().counts();
            changedEntriesBefore = testbed.driver().changedEntries();
            first = real.process().processorTimes(false);
        }

        ScenarioOutcome play() throws IOException, InterruptedException {
            begin();
            double converged = awaitConvergence();
            if (!real.process().isAlive()) {
                return failed(scenario, testbed.workload(), real.process().ending());
            }
            String failure = failure(converged);
            ScenarioOutcome outcome = outcome(converged, failure);
            progress.report(scenario + ": converged after " + converged + " s, peak "
                    + Math.round(PERMILLE * peak.peak()) / TENTHS + "% of a core"
                    + (failure == null ? "" : "; " + failure));
            return outcome;
        }

        private String failure(double converged) {
            List<String> faults = real.fleet().fleet().faults();
            if (Double.isNaN(converged)) {
                return "not converged in " + CONVERGENCE_TIMEOUT_S + " s: " + agreement();
            }
            return faults.isEmpty() ? null : faults.size() + " faults, the first: " + faults.get(0);
        }

        private Agreement agreement() {
            return testbed.agreement(real.fleet().fleet(), completeTables);
        }

        /**
         * Seconds from the end of the event until the tables agreed, or the longest for which one held a host that was not
         * ready any more; NaN if they did not agree in time.
         */
        private double awaitConvergence() throws InterruptedException {
            double converged = Double.NaN;
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONVERGENCE_TIMEOUT_S);
            while (real.process().isAlive() && System.nanoTime() < end) {
                watchFor(POLL_MS);
                long now = System.nanoTime();
                if (!hasEnded()) {
                    continue;
                }
                boolean agrees = agreement().isComplete() && holdsCurrentList();
                if (!agrees) {
                    converged = Double.NaN;
                } else if (Double.isNaN(converged)) {
                    converged = (now - eventEndNanos) / SECOND_NANOS;
                }
                if (agrees && now - startNanos > TimeUnit.MILLISECONDS.toNanos(watchMs)) {
                    break;
                }
            }
            return Math.max(converged, stale.longestSeconds());
        }

        private boolean holdsCurrentList() {
            return real.server().watchersAt(testbed.catalogue().version()) > 0;
        }

        private boolean hasEnded() {
            if (eventEndNanos == 0 && !testbed.driver().isBusy()) {
                eventEndNanos = System.nanoTime();
            }
            return eventEndNanos != 0;
        }

        private ScenarioOutcome outcome(double converged, String failure) throws IOException {
            ProcessorTimes last = real.process().processorTimes(false);
            double seconds = (System.nanoTime() - startNanos) / SECOND_NANOS;
            Traffic.Counts traffic = real.traffic().since(trafficBefore);
            double processorSeconds = processorSecondsBeforeRestart + (last.nanos() - first.nanos()) / SECOND_NANOS;
            Usage realUsage = usage(processorSeconds, real.process().residentBytes(), traffic, seconds);
            InProcessMember simulated = testbed.simulated().get(0);
            Traffic.Counts simulatedTraffic =
                    simulated.connection().traffic().counts().since(simulatedTrafficBefore);
            double simulatedSeconds = (simulated.controller().processorNanos() - simulatedNanosBefore) / SECOND_NANOS;
            Usage simulatedUsage = usage(simulatedSeconds, Double.NaN, simulatedTraffic, seconds);
            return new ScenarioOutcome(
                    scenario,
                    testbed.workload(),
                    realUsage,
                    simulatedUsage,
                    (int) (testbed.driver().changedEntries() - changedEntriesBefore),
                    converged,
                    traffic.bytesIn(),
                    traffic.bytesOut(),
                    peak.peak(),
                    failure);
        }

        private Usage usage(double processorSeconds, double residentBytes, Traffic.Counts traffic, double seconds) {
            return new Usage(
                    processorSeconds / seconds,
                    residentBytes,
                    Double.NaN,
                    traffic.bytesIn() / seconds,
                    traffic.bytesOut() / seconds,
                    traffic.messagesIn() / seconds,
                    traffic.messagesOut() / seconds,
                    Map.of());
        }

        // ---- events

        private void begin() throws IOException, InterruptedException {
            long now = System.currentTimeMillis();
            switch (scenario) {
                case IDLE -> {}
                case CHURN -> churn(now);
                case ROLLING_RESTART -> rollingRestart(now);
                case RACK_LOST -> testbed.script(events -> events.loseRack(now, 0, 0));
                case ZONE_LOST_AND_BACK -> testbed.script(events -> events.loseZone(now, 0, ZONE_LOST_MS));
                case SILENCE_CAUGHT_UP -> silence(now);
                case SPOILT_LIST -> invalidEntries();
                case PARTIAL_LIST -> {
                    real.server().cutNextLists(1);
                    restart();
                }
                case PROXIES_RESTARTED -> {
                    real.fleet().rejoinAll();
                    testbed.simulated().get(0).connection().rejoinAll();
                }
                case STEWARDS_RESTARTED -> restart();
            }
        }

        private void churn(long now) throws InterruptedException {
            double rate = testbed.workload().changesPerSecond() > 0
                    ? testbed.workload().changesPerSecond()
                    : CHURN_PER_SECOND;
            testbed.script(events -> events.churn(now, rate));
            watchFor(CHURN_MS);
            testbed.script(CatalogueEvents::endSteadyRates);
        }

        private void rollingRestart(long now) {
            List<CatalogueHost> service = testbed.catalogue().hosts(host -> host.service() == 0);
            int step = (int) Math.max(1, service.size() * ROLLING_STEP_SHARE);
            testbed.script(events -> events.rollingRestart(now, service, step, ROLLING_INTERVAL_MS));
        }

        private void silence(long now) throws InterruptedException {
            testbed.servers().forEach(server -> server.setSilent(true));
            List<CatalogueHost> all = testbed.catalogue().hosts(CatalogueHost::isReady);
            int changed = (int) Math.ceil(all.size() * HOUR_SHARE);
            int stride = Math.max(1, all.size() / changed);
            List<CatalogueHost> replaced = IntStream.range(0, changed)
                    .mapToObj(index -> all.get(index * stride))
                    .toList();
            testbed.script(events -> events.replaceAll(now, replaced));
            watchFor(SILENT_MS);
            testbed.servers().forEach(server -> server.setSilent(false));
        }

        /** The controller restarts with a list of which some entries can't be read; later these hosts change, and are read. */
        private void invalidEntries() throws IOException, InterruptedException {
            real.server().corruptNextLists(1, INVALID_ENTRIES);
            List<CatalogueHost> affected = testbed.catalogue()
                    .hosts(host -> true)
                    .subList(0, Math.min(INVALID_ENTRIES, testbed.workload().catalogueHosts()));
            restart();
            watchFor(watchMs);
            testbed.script(events -> events.rollingRestart(System.currentTimeMillis(), affected, INVALID_ENTRIES, 1));
        }

        private void restart() throws IOException {
            processorSecondsBeforeRestart +=
                    (real.process().processorTimes(false).nanos() - first.nanos()) / SECOND_NANOS;
            real.restart();
            first = new ProcessorTimes(System.nanoTime(), 0, Map.of()); // it has used none yet
        }

        /** Waits, and takes readings meanwhile. */
        private void watchFor(long durationMs) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
            do {
                try {
                    peak.add(real.process().processorTimes(false));
                } catch (IOException ended) {
                    return; // the process has ended, which the outcome says
                }
                stale.add(testbed.staleHosts(real.fleet().fleet()), System.nanoTime());
                TimeUnit.MILLISECONDS.sleep(Math.min(durationMs, POLL_MS));
            } while (System.nanoTime() < end);
        }
    }
}
