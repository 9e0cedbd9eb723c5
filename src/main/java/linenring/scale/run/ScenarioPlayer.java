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

/**
 * Plays one scenario to a real and a simulated controller, and waits until the tables of the real controller's proxies match
 * the catalogue.
 */
final class ScenarioPlayer {
    /** The maximum duration of one scenario. */
    static final double MAX_SECONDS = 260;

    private static final long SETTLE_TIMEOUT_S = 60;
    private static final long CONVERGENCE_TIMEOUT_S = 90;
    /** The wait before the event of a scenario, in which the first tables are sent and hot code is compiled. */
    private static final long STABILIZATION_MS = 15_000;

    /** The minimum time for which a scenario is observed after its event. */
    private static final long MIN_OBSERVATION_MS = 10_000;

    private static final double SECOND_NANOS = 1e9;
    private static final double PERMILLE = 1000;
    private static final double TENTHS = 10;
    private static final long POLL_MS = 100;
    /** The churn rate if the workload has no changes of its own. */
    private static final double DEFAULT_CHURN_PER_SECOND = 10;

    private static final long CHURN_MS = 10_000;
    private static final long ZONE_OUTAGE_MS = 10_000;
    /** The length of the silence. It represents an hour, since only the number of missed changes matters, not the time. */
    private static final long SILENCE_MS = 5000;

    /** The share of hosts that change in an hour: a fleet of 73,000 hosts has 10,000 restarts and 270 failures a day. */
    private static final double HOURLY_CHANGE_SHARE = 10_270.0 / 24 / 73_000;

    private static final int INVALID_ENTRIES = 5;
    private static final double ROLLING_STEP_SHARE = 0.1;
    private static final long ROLLING_INTERVAL_MS = 2000;

    private final long seed;
    private final Progress progress;
    private final long stabilizationMs;
    private final long minObservationMs;

    ScenarioPlayer(long seed, Progress progress) {
        this(seed, progress, STABILIZATION_MS, MIN_OBSERVATION_MS);
    }

    /**
     * Creates a player that waits {@code stabilizationMs} before the event and at least {@code minObservationMs} after it.
     */
    ScenarioPlayer(long seed, Progress progress, long stabilizationMs, long minObservationMs) {
        this.seed = seed;
        this.progress = progress;
        this.stabilizationMs = stabilizationMs;
        this.minObservationMs = minObservationMs;
    }

    /** Returns the outcome of a scenario that could not be completed. */
    static ScenarioOutcome failedOutcome(Scenario scenario, Workload workload, String failure) {
        double notMeasured = Double.NaN;
        return new ScenarioOutcome(
                scenario, workload, null, null, 0, notMeasured, notMeasured, notMeasured, notMeasured, failure);
    }

    ScenarioOutcome play(Scenario scenario, Workload workload) throws Exception { // Jetty's start() declares Exception
        try (Testbed testbed = new Testbed(workload, seed)) {
            testbed.open(1, 1);
            RealControllerWithFleet realController = testbed.realControllers().get(0);
            String failure = testbed.awaitSettled(
                    realController, System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_TIMEOUT_S));
            if (failure != null) {
                return failedOutcome(scenario, workload, failure);
            }
            testbed.awaitSimulatedSettled(System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_TIMEOUT_S));
            TimeUnit.MILLISECONDS.sleep(stabilizationMs);
            return new ScenarioExecution(scenario, testbed, realController).play();
        }
    }

    /** The execution of one scenario, from its event until convergence. */
    private final class ScenarioExecution {
        private final Scenario scenario;
        private final Testbed testbed;
        private final RealControllerWithFleet realController;
        private final boolean completeTables; // whether each table must hold all ready hosts, as before the event
        private final PeakProcessorShare peakShare = new PeakProcessorShare();
        private final StaleHostDurations staleHostDurations = new StaleHostDurations();
        private final long startNanos = System.nanoTime();
        private final Traffic.Counts trafficBefore;
        private final long simulatedNanosBefore;
        private final Traffic.Counts simulatedTrafficBefore;
        private final long changedEntriesBefore;
        private ProcessorTimes baselineTimes;
        private long eventEndNanos; // end of the last scheduled event; 0 while events are pending
        private double processorSecondsBeforeRestart;

        ScenarioExecution(Scenario scenario, Testbed testbed, RealControllerWithFleet realController)
                throws IOException {
            this.scenario = scenario;
            this.testbed = testbed;
            this.realController = realController;
            completeTables =
                    testbed.compareTables(realController.fleet().fleet(), true).isComplete();
            trafficBefore = realController.traffic();
            SimulatedControllerWithFleet simulated =
                    testbed.simulatedControllers().get(0);
            simulatedNanosBefore = simulated.controller().processorNanos();
            simulatedTrafficBefore = simulated.connection().traffic().counts();
            changedEntriesBefore = testbed.driver().changedEntries();
            baselineTimes = realController.process().processorTimes(false);
        }

        ScenarioOutcome play() throws IOException, InterruptedException {
            triggerEvent();
            double convergenceSeconds = awaitConvergence();
            if (!realController.process().isAlive()) {
                return failedOutcome(
                        scenario, testbed.workload(), realController.process().exitDescription());
            }
            String failure = describeFailure(convergenceSeconds);
            ScenarioOutcome outcome = outcome(convergenceSeconds, failure);
            progress.report(scenario + ": converged after " + convergenceSeconds + " s, peak usage "
                    + Math.round(PERMILLE * peakShare.peak()) / TENTHS + "% of a core"
                    + (failure == null ? "" : "; " + failure));
            return outcome;
        }

        private String describeFailure(double convergenceSeconds) {
            List<String> faults = realController.fleet().fleet().faults();
            if (Double.isNaN(convergenceSeconds)) {
                return "tables did not converge within " + CONVERGENCE_TIMEOUT_S + " s: " + compareTables();
            }
            return faults.isEmpty() ? null : faults.size() + " faults of the simulated fleet; first: " + faults.get(0);
        }

        private TableConsistency compareTables() {
            return testbed.compareTables(realController.fleet().fleet(), completeTables);
        }

        /**
         * Returns the larger of two times in seconds: from the end of the event until the tables matched the catalogue, and the
         * longest time for which a table kept a host that was no longer ready; NaN if the tables did not converge in time.
         */
        private double awaitConvergence() throws InterruptedException {
            double convergenceSeconds = Double.NaN;
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONVERGENCE_TIMEOUT_S);
            while (realController.process().isAlive() && System.nanoTime() < deadlineNanos) {
                observeFor(POLL_MS);
                long now = System.nanoTime();
                if (!hasEventEnded()) {
                    continue;
                }
                boolean isConverged = compareTables().isComplete() && holdsCurrentList();
                if (!isConverged) {
                    convergenceSeconds = Double.NaN;
                } else if (Double.isNaN(convergenceSeconds)) {
                    convergenceSeconds = (now - eventEndNanos) / SECOND_NANOS;
                }
                if (isConverged && now - startNanos > TimeUnit.MILLISECONDS.toNanos(minObservationMs)) {
                    break;
                }
            }
            return Math.max(convergenceSeconds, staleHostDurations.longestSeconds());
        }

        private boolean holdsCurrentList() {
            return realController.server().watchersAt(testbed.catalogue().version()) > 0;
        }

        private boolean hasEventEnded() {
            if (eventEndNanos == 0 && !testbed.driver().hasPendingEvents()) {
                eventEndNanos = System.nanoTime();
            }
            return eventEndNanos != 0;
        }

        private ScenarioOutcome outcome(double convergenceSeconds, String failure) throws IOException {
            ProcessorTimes last = realController.process().processorTimes(false);
            double seconds = (System.nanoTime() - startNanos) / SECOND_NANOS;
            Traffic.Counts traffic = realController.traffic().since(trafficBefore);
            double processorSeconds = processorSecondsBeforeRestart
                    + (last.processorNanos() - baselineTimes.processorNanos()) / SECOND_NANOS;
            Usage realUsage = usage(processorSeconds, realController.process().residentBytes(), traffic, seconds);
            SimulatedControllerWithFleet simulated =
                    testbed.simulatedControllers().get(0);
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
                    convergenceSeconds,
                    traffic.bytesIn(),
                    traffic.bytesOut(),
                    peakShare.peak(),
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

        private void triggerEvent() throws IOException, InterruptedException {
            long now = System.currentTimeMillis();
            switch (scenario) {
                case IDLE -> {}
                case CHURN -> churn(now);
                case ROLLING_RESTART -> rollingRestart(now);
                case RACK_LOST -> testbed.scheduleEvents(events -> events.loseRack(now, 0, 0));
                case ZONE_LOST_AND_BACK -> testbed.scheduleEvents(events -> events.loseZone(now, 0, ZONE_OUTAGE_MS));
                case SILENCE_CAUGHT_UP -> silenceCatalogue(now);
                case SPOILT_LIST -> restartWithInvalidEntries();
                case PARTIAL_LIST -> {
                    realController.server().cutNextLists(1);
                    restartController();
                }
                case PROXIES_RESTARTED -> {
                    realController.fleet().rejoinAll();
                    testbed.simulatedControllers().get(0).connection().rejoinAll();
                }
                case STEWARDS_RESTARTED -> restartController();
            }
        }

        private void churn(long now) throws InterruptedException {
            double rate = testbed.workload().changesPerSecond() > 0
                    ? testbed.workload().changesPerSecond()
                    : DEFAULT_CHURN_PER_SECOND;
            testbed.scheduleEvents(events -> events.churn(now, rate));
            observeFor(CHURN_MS);
            testbed.scheduleEvents(CatalogueEvents::endSteadyRates);
        }

        private void rollingRestart(long now) {
            List<CatalogueHost> serviceHosts = testbed.catalogue().hosts(host -> host.service() == 0);
            int hostsPerStep = (int) Math.max(1, serviceHosts.size() * ROLLING_STEP_SHARE);
            testbed.scheduleEvents(
                    events -> events.rollingRestart(now, serviceHosts, hostsPerStep, ROLLING_INTERVAL_MS));
        }

        private void silenceCatalogue(long now) throws InterruptedException {
            testbed.servers().forEach(server -> server.setSilent(true));
            List<CatalogueHost> readyHosts = testbed.catalogue().hosts(CatalogueHost::isReady);
            int replacedCount = (int) Math.ceil(readyHosts.size() * HOURLY_CHANGE_SHARE);
            int stride = Math.max(1, readyHosts.size() / replacedCount);
            List<CatalogueHost> replaced = IntStream.range(0, replacedCount)
                    .mapToObj(index -> readyHosts.get(index * stride))
                    .toList();
            testbed.scheduleEvents(events -> events.replaceAll(now, replaced));
            observeFor(SILENCE_MS);
            testbed.servers().forEach(server -> server.setSilent(false));
        }

        /**
         * Restarts the controller with a host list that has some invalid entries; later these hosts change and their new
         * entries are valid.
         */
        private void restartWithInvalidEntries() throws IOException, InterruptedException {
            realController.server().corruptNextLists(1, INVALID_ENTRIES);
            List<CatalogueHost> affectedHosts = testbed.catalogue()
                    .hosts(host -> true)
                    .subList(0, Math.min(INVALID_ENTRIES, testbed.workload().catalogueHosts()));
            restartController();
            observeFor(minObservationMs);
            testbed.scheduleEvents(
                    events -> events.rollingRestart(System.currentTimeMillis(), affectedHosts, INVALID_ENTRIES, 1));
        }

        private void restartController() throws IOException {
            processorSecondsBeforeRestart +=
                    (realController.process().processorTimes(false).processorNanos() - baselineTimes.processorNanos())
                            / SECOND_NANOS;
            realController.restart();
            baselineTimes = new ProcessorTimes(
                    System.nanoTime(), 0, Map.of()); // a new process, which has used no processor time
        }

        /**
         * Reads processor time and stale hosts at the poll interval, for this duration or until the controller process ends.
         */
        private void observeFor(long durationMs) throws InterruptedException {
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
            do {
                try {
                    peakShare.add(realController.process().processorTimes(false));
                } catch (IOException processEnded) {
                    return; // the process has ended, which the outcome reports
                }
                staleHostDurations.add(testbed.staleHosts(realController.fleet().fleet()), System.nanoTime());
                TimeUnit.MILLISECONDS.sleep(Math.min(durationMs, POLL_MS));
            } while (System.nanoTime() < deadlineNanos);
        }
    }
}
