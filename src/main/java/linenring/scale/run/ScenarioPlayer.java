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

/** Plays one scenario to a real steward and a hollow one, and waits until the tables of the real one's proxies agree. */
final class ScenarioPlayer {
    /** How long one takes at most. */
    static final double SECONDS_AT_MOST = 260;

    private static final long SETTLE_S = 60, CONVERGE_S = 90;
    private static final long QUIET_MS =
            15_000; // before the event: the first tables have gone out, what runs often is compiled
    private static final long WATCH_MS = 10_000; // from the event on at least
    private static final long POLL_MS = 100;
    private static final double CHURN_PER_SECOND = 10; // where the workload has no changes of its own
    private static final long CHURN_MS = 10_000;
    private static final long ZONE_AWAY_MS = 10_000;
    private static final long SILENT_MS = 5000; // stands for the hour: what counts is how much is caught up
    /** 10,000 restarts and 270 failures a day of 73,000 hosts, over an hour. */
    private static final double HOUR_SHARE = 10_270.0 / 24 / 73_000;

    private static final int SPOILT_ENTRIES = 5;
    private static final double ROLLING_STEP = 0.1;
    private static final long ROLLING_EVERY_MS = 2000;

    private final long seed;
    private final Progress progress;
    private final long quietMs;
    private final long watchMs;

    ScenarioPlayer(long seed, Progress progress) {
        this(seed, progress, QUIET_MS, WATCH_MS);
    }

    /** With so much time before the event, and so much from it on at least. */
    ScenarioPlayer(long seed, Progress progress, long quietMs, long watchMs) {
        this.seed = seed;
        this.progress = progress;
        this.quietMs = quietMs;
        this.watchMs = watchMs;
    }

    static ScenarioOutcome failed(Scenario scenario, Workload workload, String failure) {
        double none = Double.NaN;
        return new ScenarioOutcome(scenario, workload, null, null, 0, none, none, none, none, failure);
    }

    ScenarioOutcome play(Scenario scenario, Workload workload) throws Exception { // Jetty's start() may throw any
        try (Testbed testbed = new Testbed(workload, seed)) {
            testbed.open(1, 1);
            RealMember real = testbed.real().get(0);
            String failure = testbed.awaitSettled(real, System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_S));
            if (failure != null) {
                return failed(scenario, workload, failure);
            }
            testbed.awaitHollowSettled(System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_S));
            TimeUnit.MILLISECONDS.sleep(quietMs);
            return new Play(scenario, testbed, real).play();
        }
    }

    /** One scenario from its event on. */
    private final class Play {
        private final Scenario scenario;
        private final Testbed testbed;
        private final RealMember real;
        private final boolean whole; // tables hold all hosts that are ready
        private final PeakShare peak = new PeakShare();
        private final StaleHosts stale = new StaleHosts();
        private final long begunAt = System.nanoTime();
        private final Traffic.Counts trafficBefore;
        private final long hollowNanosBefore;
        private final Traffic.Counts hollowTrafficBefore;
        private final long hostsBefore;
        private ProcessorTimes first;
        private long eventEndedAt; // once nothing more is due to happen
        private double processorSecondsBeforeRestart;

        Play(Scenario scenario, Testbed testbed, RealMember real) throws IOException {
            this.scenario = scenario;
            this.testbed = testbed;
            this.real = real;
            whole = testbed.agreement(real.fleet().fleet(), true).isComplete();
            trafficBefore = real.traffic();
            InProcessMember hollow = testbed.hollow().get(0);
            hollowNanosBefore = hollow.steward().processorNanos();
            hollowTrafficBefore = hollow.connection().traffic().counts();
            hostsBefore = testbed.driver().hostsChanged();
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
            progress.say(scenario + ": converged after " + converged + " s, peak "
                    + Math.round(1000 * peak.peak()) / 10.0 + "% of a core"
                    + (failure == null ? "" : "; " + failure));
            return outcome;
        }

        private String failure(double converged) {
            List<String> faults = real.fleet().fleet().faults();
            if (Double.isNaN(converged)) {
                return "not converged in " + CONVERGE_S + " s: " + agreement();
            }
            return faults.isEmpty() ? null : faults.size() + " faults, the first: " + faults.get(0);
        }

        private Agreement agreement() {
            return testbed.agreement(real.fleet().fleet(), whole);
        }

        /**
         * Seconds from the last of the event until the tables agreed, or the longest for which one held a host that was not
         * ready any more; NaN where they did not come to agree.
         */
        private double awaitConvergence() throws InterruptedException {
            double converged = Double.NaN;
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONVERGE_S);
            while (real.process().isAlive() && System.nanoTime() < end) {
                watchFor(POLL_MS);
                long now = System.nanoTime();
                if (!hasEnded()) {
                    continue;
                }
                boolean agrees = agreement().isComplete() && holdsPresentList();
                converged = !agrees ? Double.NaN : Double.isNaN(converged) ? (now - eventEndedAt) / 1e9 : converged;
                if (agrees && now - begunAt > TimeUnit.MILLISECONDS.toNanos(watchMs)) {
                    break;
                }
            }
            return Math.max(converged, stale.longestSeconds());
        }

        private boolean holdsPresentList() {
            return real.server().watchersAt(testbed.catalogue().version()) > 0;
        }

        private boolean hasEnded() {
            if (eventEndedAt == 0 && !testbed.driver().isBusy()) {
                eventEndedAt = System.nanoTime();
            }
            return eventEndedAt != 0;
        }

        private ScenarioOutcome outcome(double converged, String failure) throws IOException {
            ProcessorTimes last = real.process().processorTimes(false);
            double seconds = (System.nanoTime() - begunAt) / 1e9;
            Traffic.Counts traffic = real.traffic().since(trafficBefore);
            double processorSeconds = processorSecondsBeforeRestart + (last.nanos() - first.nanos()) / 1e9;
            Usage realUsage = usage(processorSeconds, real.process().residentBytes(), traffic, seconds);
            InProcessMember hollow = testbed.hollow().get(0);
            Traffic.Counts hollowTraffic =
                    hollow.connection().traffic().counts().since(hollowTrafficBefore);
            double hollowSeconds = (hollow.steward().processorNanos() - hollowNanosBefore) / 1e9;
            Usage hollowUsage = usage(hollowSeconds, Double.NaN, hollowTraffic, seconds);
            return new ScenarioOutcome(
                    scenario,
                    testbed.workload(),
                    realUsage,
                    hollowUsage,
                    (int) (testbed.driver().hostsChanged() - hostsBefore),
                    converged,
                    traffic.bytesIn(),
                    traffic.bytesOut(),
                    peak.peak(),
                    failure);
        }

        private Usage usage(double processorSeconds, double resident, Traffic.Counts traffic, double seconds) {
            return new Usage(
                    processorSeconds / seconds,
                    resident,
                    Double.NaN,
                    traffic.bytesIn() / seconds,
                    traffic.bytesOut() / seconds,
                    traffic.messagesIn() / seconds,
                    traffic.messagesOut() / seconds,
                    Map.of());
        }

        // ---- the events

        private void begin() throws IOException, InterruptedException {
            long now = System.currentTimeMillis();
            switch (scenario) {
                case IDLE -> {}
                case CHURN -> churn(now);
                case ROLLING_RESTART -> rollingRestart(now);
                case RACK_LOST -> testbed.script(events -> events.loseRack(now, 0, 0));
                case ZONE_LOST_AND_BACK -> testbed.script(events -> events.loseZone(now, 0, ZONE_AWAY_MS));
                case SILENCE_CAUGHT_UP -> silence(now);
                case SPOILT_LIST -> spoiltList(now);
                case PARTIAL_LIST -> {
                    real.server().cutNextLists(1);
                    restart();
                }
                case PROXIES_RESTARTED -> {
                    real.fleet().rejoinAll();
                    testbed.hollow().get(0).connection().rejoinAll();
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
            List<CatalogueHost> service = testbed.catalogue().hosts(h -> h.service() == 0);
            int step = (int) Math.max(1, service.size() * ROLLING_STEP);
            testbed.script(events -> events.rollingRestart(now, service, step, ROLLING_EVERY_MS));
        }

        private void silence(long now) throws InterruptedException {
            testbed.servers().forEach(s -> s.setSilent(true));
            List<CatalogueHost> all = testbed.catalogue().hosts(CatalogueHost::isReady);
            int changed = (int) Math.ceil(all.size() * HOUR_SHARE);
            int every = Math.max(1, all.size() / changed);
            List<CatalogueHost> some = IntStream.range(0, changed)
                    .mapToObj(i -> all.get(i * every))
                    .toList();
            testbed.script(events -> events.replaceAll(now, some));
            watchFor(SILENT_MS);
            testbed.servers().forEach(s -> s.setSilent(false));
        }

        /** The steward begins anew with a list of which some entries can't be read; later these hosts change, and are read. */
        private void spoiltList(long now) throws IOException, InterruptedException {
            real.server().corruptNextLists(1, SPOILT_ENTRIES);
            List<CatalogueHost> spoilt = testbed.catalogue()
                    .hosts(h -> true)
                    .subList(0, Math.min(SPOILT_ENTRIES, testbed.workload().catalogueHosts()));
            restart();
            watchFor(watchMs);
            testbed.script(events -> events.rollingRestart(System.currentTimeMillis(), spoilt, SPOILT_ENTRIES, 1));
        }

        private void restart() throws IOException {
            processorSecondsBeforeRestart +=
                    (real.process().processorTimes(false).nanos() - first.nanos()) / 1e9;
            real.restart();
            first = new ProcessorTimes(System.nanoTime(), 0, Map.of()); // it has used none yet
        }

        /** Passes so much time and reads the peak meanwhile. */
        private void watchFor(long ms) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            do {
                try {
                    peak.read(real.process().processorTimes(false));
                } catch (IOException e) {
                    return; // it has ended, which is told at the end
                }
                stale.seen(testbed.staleHosts(real.fleet().fleet()), System.nanoTime());
                TimeUnit.MILLISECONDS.sleep(Math.min(ms, POLL_MS));
            } while (System.nanoTime() < end);
        }
    }
}
