package linenring.planner;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulates a fleet whose hosts, proxies and traffic change at random, and records the planner's commands as one
 * history. Hosts fail, slow down, drain, start cold and are replaced; proxies join and disconnect; a zone is
 * partitioned; load rises and falls.
 */
final class RandomFleet {
    private static final double REPORT_MS = 1000;
    private static final double PROBE_PROBABILITY = 0.02;

    /**
     * Parameters of a random history. Probabilities are per second; relative latencies are multiples of the latency
     * objective.
     *
     * @param partitionedTimeShare share of the time in which one zone is partitioned from the others
     * @param silentProxyInterval one of this number of proxies does not acknowledge messages at times; 0 for none
     * @param requestRatesFromMs time after the start from which proxies report request rates
     */
    record Shape(
            PlannerSettings settings,
            int hosts,
            int proxies,
            int zones,
            int kinds,
            double requestsPerSecond,
            double minRelativeLatency,
            double maxRelativeLatency,
            double failureProbability,
            double slowdownProbability,
            double replacementProbability,
            double joinProbability,
            double partitionedTimeShare,
            int silentProxyInterval,
            double durationSeconds,
            double requestRatesFromMs) {}

    private final Shape shape;
    private final Random random;
    private final RecordedHistory history;
    private final List<Boolean> running = new ArrayList<>();
    private final double[] failureRatio;
    private final double[] latencyFactor;
    private final double[] kindLatencyFactor;
    private final int[] zoneOf;
    private final int[] kindOf;
    private final double[] weightOf;
    private final boolean[] isJoined;
    private final List<Integer> freeIds = new ArrayList<>();
    private double relativeLatency;
    private double targetRelativeLatency;
    private int hostIdLimit;
    private int partitionedZone = -1;

    private RandomFleet(Shape shape, long seed) {
        this.shape = shape;
        random = new Random(seed);
        history = new RecordedHistory(
                shape.settings(), proxy -> shape.silentProxyInterval() > 0 && proxy % shape.silentProxyInterval() == 0);
        int maxHosts = 1000;
        failureRatio = new double[maxHosts];
        latencyFactor = new double[maxHosts];
        zoneOf = new int[maxHosts];
        kindOf = new int[maxHosts];
        weightOf = new double[maxHosts];
        kindLatencyFactor = new double[shape.kinds()];
        java.util.Arrays.fill(kindLatencyFactor, 1);
        isJoined = new boolean[shape.proxies()];
        relativeLatency = shape.minRelativeLatency();
        targetRelativeLatency = relativeLatency;
    }

    /** Plays a random history and returns all commands that the planner gives in it. */
    static List<String> play(Shape shape, long seed) {
        RandomFleet fleet = new RandomFleet(shape, seed);
        fleet.start();
        for (double second = 1; second < shape.durationSeconds(); second++) {
            fleet.planSecond(second * REPORT_MS);
        }
        fleet.history.playTo(shape.durationSeconds() * REPORT_MS);
        return fleet.history.commands();
    }

    private void start() {
        history.at(0, planner -> {
            planner.beginHostList(true);
            for (int i = 0; i < shape.hosts(); i++) {
                int host = newHost();
                ready(planner, host, Double.NEGATIVE_INFINITY);
            }
            planner.endHostList();
            for (int shard = 1; shard <= shape.settings().shards().count(); shard++) {
                planner.setShardInCharge(shard, shard % 3 != 0);
                if (shard % 5 == 0) {
                    planner.setShardOwner(shard, random.nextInt(shape.hosts()), 1 + random.nextInt(2));
                }
            }
        });
        for (int proxy = 0; proxy < shape.proxies(); proxy++) {
            int joiningProxy = proxy;
            history.at(50 + random.nextInt(400), planner -> join(planner, joiningProxy));
        }
    }

    private int newHost() {
        int host = freeIds.isEmpty() ? hostIdLimit++ : freeIds.remove(0);
        while (running.size() <= host) {
            running.add(false);
        }
        running.set(host, true);
        zoneOf[host] = random.nextInt(shape.zones());
        kindOf[host] = random.nextInt(shape.kinds());
        weightOf[host] = shape.kinds() > 1 ? 1 + kindOf[host] * 0.7 : 1;
        failureRatio[host] = 0;
        latencyFactor[host] = 0.85 + 0.3 * random.nextDouble();
        return host;
    }

    private void ready(Planner planner, int host, double startedAt) {
        planner.hostReady(host, zoneOf[host], kindOf[host], weightOf[host], startedAt);
    }

    private void join(Planner planner, int proxy) {
        isJoined[proxy] = true;
        double usual = shape.requestsPerSecond() * (0.5 + random.nextDouble());
        planner.proxyJoined(proxy, proxy % shape.zones(), usual);
    }

    private boolean happens(double chance) {
        return random.nextDouble() < chance;
    }

    private void planSecond(double start) {
        Consumer<Planner> applyChanges = planner -> {
            driftLatency();
            changeHealth();
            changePartition(start);
        };
        history.at(start, applyChanges);
        for (int zone = 0; zone < shape.zones(); zone++) {
            int reportingZone = zone;
            double spanMs = REPORT_MS + random.nextInt(2500);
            history.at(start + random.nextInt(900), planner -> report(planner, reportingZone, spanMs));
        }
        for (int proxy = 0; proxy < shape.proxies(); proxy++) {
            int reportingProxy = proxy;
            history.at(start + random.nextInt(900), planner -> reportRates(planner, reportingProxy));
        }
        planMembership(start);
    }

    private void planMembership(double start) {
        if (happens(shape.replacementProbability())) {
            history.at(start + random.nextInt(900), this::drainRandomHosts);
        }
        if (happens(shape.replacementProbability())) {
            history.at(start + random.nextInt(900), this::startMissingHosts);
        }
        if (happens(shape.replacementProbability() / 2)) {
            history.at(start + random.nextInt(900), this::restartRandomHost);
        }
        if (happens(shape.joinProbability())) {
            history.at(start + random.nextInt(900), this::disconnectRandomProxies);
        }
        if (happens(shape.joinProbability())) {
            history.at(start + random.nextInt(900), this::rejoinRandomProxies);
        }
        if (happens(shape.joinProbability() / 4)) {
            history.at(start, planner -> history.slowChannel(happens(0.5) ? 1 : 1 + 3 * random.nextDouble()));
        }
        if (happens(shape.replacementProbability() / 3)) {
            history.at(start + random.nextInt(900), this::releaseRemoved);
        }
    }

    private void driftLatency() {
        if (happens(0.1)) {
            double span = shape.maxRelativeLatency() - shape.minRelativeLatency();
            targetRelativeLatency = shape.minRelativeLatency() + span * random.nextDouble();
        }
        relativeLatency += 0.3 * (targetRelativeLatency - relativeLatency);
    }

    private void changeHealth() {
        for (int host = 0; host < hostIdLimit; host++) {
            if (happens(shape.failureProbability())) {
                failureRatio[host] = happens(0.3) ? 1 : 0.05 + 0.8 * random.nextDouble();
            } else if (failureRatio[host] > 0 && happens(0.15)) {
                failureRatio[host] = 0;
            }
            if (happens(shape.slowdownProbability())) {
                latencyFactor[host] = 1 + 4 * random.nextDouble();
            } else if (latencyFactor[host] > 1.2 && happens(0.02)) {
                latencyFactor[host] = 0.85 + 0.3 * random.nextDouble();
            }
        }
        if (shape.kinds() > 1 && happens(0.03)) {
            kindLatencyFactor[random.nextInt(shape.kinds())] = 1 + 3 * random.nextDouble();
        } else if (happens(0.02)) {
            java.util.Arrays.fill(kindLatencyFactor, 1);
        }
    }

    private void changePartition(double start) {
        boolean isPartitioned = shape.partitionedTimeShare() > 0
                && start % 40_000 >= 12_000
                && start % 40_000 < 12_000 + 40_000 * shape.partitionedTimeShare();
        if (!isPartitioned) {
            partitionedZone = -1;
        } else if (partitionedZone < 0) {
            partitionedZone = random.nextInt(shape.zones());
        }
    }

    private void report(Planner planner, int zone, double spanMs) {
        double requests = shape.requestsPerSecond() * shape.proxies() / shape.zones();
        double weights = 0;
        for (int host = 0; host < hostIdLimit; host++) {
            weights += history.weight(host);
        }
        for (int host = 0; host < hostIdLimit; host++) {
            double share = weights > 0 ? history.weight(host) / weights : 0;
            double expected = requests * share * spanMs / REPORT_MS;
            int total = (int) (expected + random.nextDouble());
            if (total == 0 && !happens(PROBE_PROBABILITY)) {
                continue;
            }
            reportHost(planner, host, zone, Math.max(1, total), spanMs);
        }
    }

    private void reportHost(Planner planner, int host, int zone, int total, double spanMs) {
        boolean isCutOff = partitionedZone >= 0 && (zone == partitionedZone) != (zoneOf[host] == partitionedZone);
        double objective = meanObjective();
        double latency = relativeLatency
                * latencyFactor[host]
                * kindLatencyFactor[kindOf[host]]
                * (0.9 + 0.2 * random.nextDouble());
        double failures = !running.get(host) || isCutOff ? 0.95 : failureRatio[host] + Math.max(0, latency - 0.9) / 2;
        int failed = 0;
        for (int i = 0; i < total; i++) {
            failed += happens(failures) ? 1 : 0;
        }
        planner.hostStatistics(host, zone, total, failed, Math.min(1.4, latency) * objective, spanMs);
    }

    private double meanObjective() {
        return shape.settings().operations().stream()
                .mapToDouble(PlannerSettings.Operation::objectiveMs)
                .average()
                .orElseThrow();
    }

    private void reportRates(Planner planner, int proxy) {
        int operations = shape.settings().operations().size();
        boolean sendsRates = isJoined[proxy] && history.nowMs() >= PlannerDriver.START_MS + shape.requestRatesFromMs();
        for (int operation = 0; sendsRates && operation < operations; operation++) {
            double expected = shape.requestsPerSecond() / operations * (0.7 + 0.6 * random.nextDouble());
            planner.requestRate(proxy, operation, REPORT_MS, (int) (expected + random.nextDouble()));
        }
    }

    private int drawRunningHost() {
        int host = random.nextInt(hostIdLimit);
        return running.get(host) ? host : -1;
    }

    private void drainRandomHosts(Planner planner) {
        int count = 1 + random.nextInt(Math.max(1, shape.hosts() / 8));
        planner.beginHostList(false);
        for (int i = 0; i < count; i++) {
            int host = drawRunningHost();
            if (host >= 0 && Collections.frequency(running, true) > shape.hosts() / 2) {
                running.set(host, false);
                if (happens(0.6)) {
                    planner.hostDraining(host, zoneOf[host], kindOf[host], weightOf[host]);
                } else {
                    planner.hostRemoved(host);
                }
            }
        }
        planner.endHostList();
    }

    private void startMissingHosts(Planner planner) {
        int missing = shape.hosts() - Collections.frequency(running, true);
        planner.beginHostList(false);
        for (int i = 0; i < Math.min(missing, 1 + random.nextInt(6)); i++) {
            int host = newHost();
            double age = happens(0.2) ? 60_000 : random.nextInt(4000);
            ready(planner, host, history.nowMs() - age);
        }
        planner.endHostList();
    }

    private void restartRandomHost(Planner planner) {
        int host = drawRunningHost();
        if (host >= 0) {
            planner.beginHostList(false);
            ready(planner, host, history.nowMs() - random.nextInt(500));
            planner.endHostList();
        }
    }

    private void disconnectRandomProxies(Planner planner) {
        int count = 1 + random.nextInt(Math.max(1, shape.proxies() / 6));
        for (int i = 0; i < count; i++) {
            int proxy = random.nextInt(shape.proxies());
            if (isJoined[proxy]) {
                isJoined[proxy] = false;
                planner.proxyDisconnected(proxy);
            }
        }
    }

    private void rejoinRandomProxies(Planner planner) {
        for (int proxy = 0; proxy < shape.proxies(); proxy++) {
            if (!isJoined[proxy] && happens(0.6)) {
                join(planner, proxy);
            }
        }
    }

    private void releaseRemoved(Planner planner) {
        for (int host = 0; host < hostIdLimit; host++) {
            if (!running.get(host) && !freeIds.contains(host)) {
                boolean isFree = planner.releaseHost(host);
                history.record("release host=" + host + " " + isFree);
                if (isFree) {
                    freeIds.add(host);
                }
            }
        }
    }
}
