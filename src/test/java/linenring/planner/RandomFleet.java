package linenring.planner;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * A fleet whose hosts, proxies and traffic change at random, as one recorded history meets them: hosts fail, slow down, drain,
 * start cold and are replaced; proxies join and are lost; a zone is cut off; load rises and falls.
 */
final class RandomFleet {
    private static final double REPORT_MS = 1000;
    private static final double PROBE_SHARE = 0.02;

    /** What a history is about. Rates are chances a second; {@code pressure} is latency in objectives, low and high; of {@code silentEvery} proxies
     * one does not acknowledge at times (0: none). */
    record Shape(
            PlannerSettings settings,
            int hosts,
            int proxies,
            int zones,
            int kinds,
            double requestsPerSecond,
            double pressureLow,
            double pressureHigh,
            double failChance,
            double slowChance,
            double replaceChance,
            double joinChance,
            double cutShare,
            int silentEvery,
            double seconds,
            double ratesFromMs) {}

    private final Shape shape;
    private final Random random;
    private final RecordedHistory history;
    private final List<Boolean> running = new ArrayList<>();
    private final double[] failing;
    private final double[] slowness;
    private final double[] kindSlowness;
    private final int[] zoneOf;
    private final int[] kindOf;
    private final double[] weightOf;
    private final boolean[] isJoined;
    private final List<Integer> freeIds = new ArrayList<>();
    private double pressure;
    private double pressureTarget;
    private int hostLimit;
    private int cutZone = -1;

    private RandomFleet(Shape shape, long seed) {
        this.shape = shape;
        random = new Random(seed);
        history = new RecordedHistory(
                shape.settings(), proxy -> shape.silentEvery() > 0 && proxy % shape.silentEvery() == 0);
        int most = 1000;
        failing = new double[most];
        slowness = new double[most];
        zoneOf = new int[most];
        kindOf = new int[most];
        weightOf = new double[most];
        kindSlowness = new double[shape.kinds()];
        java.util.Arrays.fill(kindSlowness, 1);
        isJoined = new boolean[shape.proxies()];
        pressure = shape.pressureLow();
        pressureTarget = pressure;
    }

    /** All commands that the planner gives in this history. */
    static List<String> play(Shape shape, long seed) {
        RandomFleet fleet = new RandomFleet(shape, seed);
        fleet.start();
        for (double second = 1; second < shape.seconds(); second++) {
            fleet.planSecond(second * REPORT_MS);
        }
        fleet.history.playTo(shape.seconds() * REPORT_MS);
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
            int joining = proxy;
            history.at(50 + random.nextInt(400), planner -> join(planner, joining));
        }
    }

    private int newHost() {
        int host = freeIds.isEmpty() ? hostLimit++ : freeIds.remove(0);
        while (running.size() <= host) {
            running.add(false);
        }
        running.set(host, true);
        zoneOf[host] = random.nextInt(shape.zones());
        kindOf[host] = random.nextInt(shape.kinds());
        weightOf[host] = shape.kinds() > 1 ? 1 + kindOf[host] * 0.7 : 1;
        failing[host] = 0;
        slowness[host] = 0.85 + 0.3 * random.nextDouble();
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
        Consumer<Planner> changes = planner -> {
            driftPressure();
            changeHealth();
            changeCut(start);
        };
        history.at(start, changes);
        for (int zone = 0; zone < shape.zones(); zone++) {
            int reporting = zone;
            double spanMs = REPORT_MS + random.nextInt(2500);
            history.at(start + random.nextInt(900), planner -> report(planner, reporting, spanMs));
        }
        for (int proxy = 0; proxy < shape.proxies(); proxy++) {
            int asked = proxy;
            history.at(start + random.nextInt(900), planner -> reportRates(planner, asked));
        }
        planMembership(start);
    }

    private void planMembership(double start) {
        if (happens(shape.replaceChance())) {
            history.at(start + random.nextInt(900), this::drainSome);
        }
        if (happens(shape.replaceChance())) {
            history.at(start + random.nextInt(900), this::startSome);
        }
        if (happens(shape.replaceChance() / 2)) {
            history.at(start + random.nextInt(900), this::restartOne);
        }
        if (happens(shape.joinChance())) {
            history.at(start + random.nextInt(900), this::loseSome);
        }
        if (happens(shape.joinChance())) {
            history.at(start + random.nextInt(900), this::joinSome);
        }
        if (happens(shape.joinChance() / 4)) {
            history.at(start, planner -> history.slowChannel(happens(0.5) ? 1 : 1 + 3 * random.nextDouble()));
        }
        if (happens(shape.replaceChance() / 3)) {
            history.at(start + random.nextInt(900), this::releaseRemoved);
        }
    }

    private void driftPressure() {
        if (happens(0.1)) {
            double span = shape.pressureHigh() - shape.pressureLow();
            pressureTarget = shape.pressureLow() + span * random.nextDouble();
        }
        pressure += 0.3 * (pressureTarget - pressure);
    }

    private void changeHealth() {
        for (int host = 0; host < hostLimit; host++) {
            if (happens(shape.failChance())) {
                failing[host] = happens(0.3) ? 1 : 0.05 + 0.8 * random.nextDouble();
            } else if (failing[host] > 0 && happens(0.15)) {
                failing[host] = 0;
            }
            if (happens(shape.slowChance())) {
                slowness[host] = 1 + 4 * random.nextDouble();
            } else if (slowness[host] > 1.2 && happens(0.02)) {
                slowness[host] = 0.85 + 0.3 * random.nextDouble();
            }
        }
        if (shape.kinds() > 1 && happens(0.03)) {
            kindSlowness[random.nextInt(shape.kinds())] = 1 + 3 * random.nextDouble();
        } else if (happens(0.02)) {
            java.util.Arrays.fill(kindSlowness, 1);
        }
    }

    private void changeCut(double start) {
        boolean isCut =
                shape.cutShare() > 0 && start % 40_000 >= 12_000 && start % 40_000 < 12_000 + 40_000 * shape.cutShare();
        if (!isCut) {
            cutZone = -1;
        } else if (cutZone < 0) {
            cutZone = random.nextInt(shape.zones());
        }
    }

    private void report(Planner planner, int zone, double spanMs) {
        double requests = shape.requestsPerSecond() * shape.proxies() / shape.zones();
        double weights = 0;
        for (int host = 0; host < hostLimit; host++) {
            weights += history.weight(host);
        }
        for (int host = 0; host < hostLimit; host++) {
            double share = weights > 0 ? history.weight(host) / weights : 0;
            double expected = requests * share * spanMs / REPORT_MS;
            int total = (int) (expected + random.nextDouble());
            if (total == 0 && !happens(PROBE_SHARE)) {
                continue;
            }
            reportHost(planner, host, zone, Math.max(1, total), spanMs);
        }
    }

    private void reportHost(Planner planner, int host, int zone, int total, double spanMs) {
        boolean isCutOff = cutZone >= 0 && (zone == cutZone) != (zoneOf[host] == cutZone);
        double objective = meanObjective();
        double latency = pressure * slowness[host] * kindSlowness[kindOf[host]] * (0.9 + 0.2 * random.nextDouble());
        double failures = !running.get(host) || isCutOff ? 0.95 : failing[host] + Math.max(0, latency - 0.9) / 2;
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
        boolean sendsRates = isJoined[proxy] && history.now() >= PlannerPlayer.START_MS + shape.ratesFromMs();
        for (int operation = 0; sendsRates && operation < operations; operation++) {
            double expected = shape.requestsPerSecond() / operations * (0.7 + 0.6 * random.nextDouble());
            planner.requestRate(proxy, operation, REPORT_MS, (int) (expected + random.nextDouble()));
        }
    }

    private int anyRunning() {
        int host = random.nextInt(hostLimit);
        return running.get(host) ? host : -1;
    }

    private void drainSome(Planner planner) {
        int count = 1 + random.nextInt(Math.max(1, shape.hosts() / 8));
        planner.beginHostList(false);
        for (int i = 0; i < count; i++) {
            int host = anyRunning();
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

    private void startSome(Planner planner) {
        int missing = shape.hosts() - Collections.frequency(running, true);
        planner.beginHostList(false);
        for (int i = 0; i < Math.min(missing, 1 + random.nextInt(6)); i++) {
            int host = newHost();
            double age = happens(0.2) ? 60_000 : random.nextInt(4000);
            ready(planner, host, history.now() - age);
        }
        planner.endHostList();
    }

    private void restartOne(Planner planner) {
        int host = anyRunning();
        if (host >= 0) {
            planner.beginHostList(false);
            ready(planner, host, history.now() - random.nextInt(500));
            planner.endHostList();
        }
    }

    private void loseSome(Planner planner) {
        int count = 1 + random.nextInt(Math.max(1, shape.proxies() / 6));
        for (int i = 0; i < count; i++) {
            int proxy = random.nextInt(shape.proxies());
            if (isJoined[proxy]) {
                isJoined[proxy] = false;
                planner.proxyDisconnected(proxy);
            }
        }
    }

    private void joinSome(Planner planner) {
        for (int proxy = 0; proxy < shape.proxies(); proxy++) {
            if (!isJoined[proxy] && happens(0.6)) {
                join(planner, proxy);
            }
        }
    }

    private void releaseRemoved(Planner planner) {
        for (int host = 0; host < hostLimit; host++) {
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
