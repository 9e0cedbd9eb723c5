package linenring.planner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.planner.PlannerSettings.Channel;
import linenring.planner.PlannerSettings.ColdStart;
import linenring.planner.PlannerSettings.Operation;
import linenring.planner.PlannerSettings.Shards;
import linenring.planner.RandomFleet.Shape;

/** The histories whose commands are compared with a reference; each history is identified by its name and seed. */
final class RecordedHistories {
    private static final int SEEDS_PER_SHAPE = 3;
    /**
     * Seeds of random shapes. With each of them a 2% change of some constant alters the commands where the named
     * shapes or earlier seeds show no difference.
     */
    private static final List<Long> RANDOM_SHAPE_SEEDS = List.of(
            6L, 7L, 9L, 11L, 12L, 15L, 17L, 19L, 20L, 22L, 26L, 34L, 35L, 37L, 42L, 50L, 55L, 73L, 116L, 129L, 183L,
            282L, 366L, 489L, 560L);

    private static final List<Long> WAITING_BINDS_SEEDS = List.of(1086L, 2517L);
    private static final Shards WITHOUT_SHARDS = new Shards(0, false, 0, 0);

    /** A history: the shape of a fleet, played with one seed of the random events. */
    record History(String name, long seed, Shape shape) {
        List<String> play() {
            return RandomFleet.play(shape, seed);
        }

        String file() {
            return name + "-" + seed + ".txt.gz";
        }
    }

    /**
     * Probabilities per second of events: a host fails, a host slows down, hosts are replaced, proxies join or are
     * lost.
     */
    private record Chances(double fail, double slow, double replace, double join) {}

    private RecordedHistories() {}

    static List<History> all() {
        List<History> histories = new ArrayList<>();
        shapes().forEach((name, shape) -> {
            for (long seed = 1; seed <= SEEDS_PER_SHAPE; seed++) {
                histories.add(new History(name, seed, shape));
            }
        });
        for (long seed : RANDOM_SHAPE_SEEDS) {
            histories.add(new History("random-shape", seed, RandomShape.draw(seed)));
        }
        for (long seed : WAITING_BINDS_SEEDS) {
            histories.add(new History("waiting-binds", seed, RandomShape.drawWaitingBinds(seed)));
        }
        return histories;
    }

    private static Map<String, Shape> shapes() {
        Map<String, Shape> shapes = new LinkedHashMap<>();
        Channel fast = channel(20_000, 40_000, 0);
        Channel limited = channel(1200, 18_000, 60);
        addHealthAndLoad(shapes, fast);
        addSubsetsAndZones(shapes, fast, limited);
        addDrainsAndHostLists(shapes, fast);
        addShards(shapes, fast);
        addLowTraffic(shapes, fast);
        addSlowChannels(shapes);
        return shapes;
    }

    private static void addHealthAndLoad(Map<String, Shape> shapes, Channel fast) {
        shapes.put(
                "health",
                shape(settings(fast, WITHOUT_SHARDS), 18, 8, 40, 0.08, 0.5, new Chances(0.012, 0.004, 0.05, 0.02)));
        shapes.put("kinds", withMachineKinds(settings(fast, WITHOUT_SHARDS), 24, 6, 8));
        shapes.put(
                "overload",
                shape(
                        overloadSettings(fast, AdmissionUnit.SHARE),
                        12,
                        6,
                        30,
                        0.2,
                        1.3,
                        new Chances(0.004, 0, 0.1, 0.02)));
        shapes.put(
                "overload-rate",
                shape(
                        overloadSettings(fast, AdmissionUnit.PER_SECOND),
                        10,
                        5,
                        30,
                        0.1,
                        1.1,
                        new Chances(0, 0, 0.02, 0)));
    }

    private static void addSubsetsAndZones(Map<String, Shape> shapes, Channel fast, Channel limited) {
        shapes.put(
                "subsets",
                shape(settings(limited, WITHOUT_SHARDS), 48, 120, 3, 0.1, 0.5, new Chances(0.002, 0.001, 0.3, 0.3)));
        shapes.put(
                "subset-churn",
                shape(
                        settings(channel(700, 9000, 30), WITHOUT_SHARDS),
                        40,
                        90,
                        2,
                        0.1,
                        0.4,
                        new Chances(0, 0, 0.5, 0.6)));
        shapes.put(
                "surge",
                shape(
                        settings(channel(400, 9000, 40), WITHOUT_SHARDS),
                        30,
                        60,
                        6,
                        0.1,
                        0.3,
                        new Chances(0, 0, 0.3, 0.4)));
        shapes.put("zones", withZonePartitions(settings(fast, WITHOUT_SHARDS), 60, 12, 2));
        shapes.put("zone-subsets", withZonePartitions(settings(limited, WITHOUT_SHARDS), 60, 60, 1));
        shapes.put(
                "home-zone",
                shape(
                        homeZoneSettings(channel(5000, 20_000, 30)),
                        18,
                        12,
                        20,
                        0.1,
                        0.6,
                        new Chances(0.005, 0.002, 0.1, 0.1)));
    }

    private static void addDrainsAndHostLists(Map<String, Shape> shapes, Channel fast) {
        shapes.put(
                "drains",
                shape(
                        settings(channel(2500, 1500, 8), WITHOUT_SHARDS),
                        24,
                        20,
                        10,
                        0.1,
                        0.3,
                        new Chances(0.002, 0, 0.9, 0.2)));
        shapes.put(
                "short-grace",
                shape(settings(shortGraceChannel(), WITHOUT_SHARDS), 30, 24, 8, 0.1, 0.3, new Chances(0, 0, 0.8, 0.2)));
        shapes.put("ids", shape(settings(fast, WITHOUT_SHARDS), 12, 8, 20, 0.1, 0.4, new Chances(0.003, 0, 0.8, 0.1)));
        shapes.put(
                "asked-list", shape(polledListSettings(fast), 8, 4, 20, 0.05, 0.3, new Chances(0.002, 0, 0.2, 0.05)));
    }

    private static void addShards(Map<String, Shape> shapes, Channel fast) {
        shapes.put(
                "shards",
                shape(
                        settings(fast, new Shards(24, false, 3000, 1000)),
                        9,
                        6,
                        20,
                        0.1,
                        0.3,
                        new Chances(0, 0, 0.3, 0.05)));
        shapes.put(
                "single-owner",
                shape(
                        settings(fast, new Shards(16, true, 2500, 700)),
                        7,
                        6,
                        20,
                        0.1,
                        0.3,
                        new Chances(0.002, 0, 0.3, 0.05)));
    }

    /**
     * Adds histories with few requests for each host, where the minimum number of attempts for a health decision
     * matters.
     */
    private static void addLowTraffic(Map<String, Shape> shapes, Channel fast) {
        shapes.put("thin-zones", withZonePartitions(settings(fast, WITHOUT_SHARDS), 40, 20, 0.6));
        shapes.put(
                "thin-cold",
                shape(settings(fast, WITHOUT_SHARDS), 20, 10, 4.6, 0.2, 0.7, new Chances(0.01, 0, 0.5, 0.2)));
        shapes.put(
                "tiny",
                shape(
                        overloadSettings(fast, AdmissionUnit.SHARE),
                        5,
                        2,
                        3.5,
                        0.2,
                        0.9,
                        new Chances(0.02, 0, 0.05, 0.05)));
        shapes.put(
                "mass-failure",
                shape(settings(fast, WITHOUT_SHARDS), 20, 10, 30, 0.2, 1, new Chances(0.09, 0.03, 0.1, 0.05)));
        shapes.put(
                "slow-hosts",
                shape(settings(fast, WITHOUT_SHARDS), 16, 8, 16, 0.15, 0.5, new Chances(0, 0.02, 0.02, 0.02)));
    }

    /**
     * Adds histories with a slow channel, unresponsive proxies or uneven subsets, where the estimate of queued
     * entries matters.
     */
    private static void addSlowChannels(Map<String, Shape> shapes) {
        shapes.put("silent", withUnresponsiveProxies(settings(channel(150, 1200, 0), WITHOUT_SHARDS), 14, 9));
        shapes.put("silent-capped", withUnresponsiveProxies(settings(channel(900, 4000, 12), WITHOUT_SHARDS), 20, 16));
        shapes.put(
                "uneven-parts",
                shape(
                        settings(channel(900, 14_000, 0), WITHOUT_SHARDS),
                        36,
                        110,
                        2,
                        0.1,
                        0.4,
                        new Chances(0, 0, 0.7, 0.9)));
    }

    private static Shape withUnresponsiveProxies(PlannerSettings settings, int hosts, int proxies) {
        return new Shape(settings, hosts, proxies, 2, 2, 8, 0.1, 0.6, 0.004, 0.002, 0.4, 0.4, 0, 4, 180, 0);
    }

    private static Shape shape(
            PlannerSettings settings,
            int hosts,
            int proxies,
            double requestsPerSecond,
            double minRelativeLatency,
            double maxRelativeLatency,
            Chances chances) {
        return new Shape(
                settings,
                hosts,
                proxies,
                2,
                1,
                requestsPerSecond,
                minRelativeLatency,
                maxRelativeLatency,
                chances.fail(),
                chances.slow(),
                chances.replace(),
                chances.join(),
                0,
                0,
                120,
                0);
    }

    private static Shape withMachineKinds(PlannerSettings settings, int hosts, int proxies, double requestsPerSecond) {
        return new Shape(
                settings, hosts, proxies, 2, 3, requestsPerSecond, 0.1, 0.45, 0.001, 0, 0.05, 0.02, 0, 0, 240, 0);
    }

    private static Shape withZonePartitions(
            PlannerSettings settings, int hosts, int proxies, double requestsPerSecond) {
        return new Shape(
                settings, hosts, proxies, 3, 1, requestsPerSecond, 0.1, 0.4, 0.001, 0, 0.05, 0.05, 0.15, 0, 160, 0);
    }

    private static Operation operation(double objectiveMs, double value, boolean homeZoneOnly) {
        return new Operation(objectiveMs, value, -1, -1, homeZoneOnly, 2);
    }

    private static Channel channel(double entriesPerSecond, double maxQueuedEntries, int maxMessages) {
        return new Channel(entriesPerSecond, 4, maxQueuedEntries, maxMessages, 10_000, 100, 250, 5000);
    }

    private static Channel shortGraceChannel() {
        return new Channel(1500, 4, 9000, 12, 6000, 150, 400, 1500);
    }

    private static PlannerSettings settings(Channel channel, Shards shards) {
        return settings(channel, shards, AdmissionUnit.SHARE, List.of(operation(1000, 1, false)));
    }

    private static PlannerSettings settings(
            Channel channel, Shards shards, AdmissionUnit measure, List<Operation> operations) {
        return new PlannerSettings(operations, new ColdStart(0.2, 8000), channel, shards, measure, false, 0, false, 5);
    }

    private static PlannerSettings overloadSettings(Channel channel, AdmissionUnit measure) {
        List<Operation> operations =
                List.of(operation(600, 1, false), operation(1000, 5, false), operation(2500, 3, false));
        return settings(channel, WITHOUT_SHARDS, measure, operations);
    }

    private static PlannerSettings homeZoneSettings(Channel channel) {
        List<Operation> operations =
                List.of(operation(800, 1, true), operation(800, 2, true), new Operation(1500, 4, 1, -1, false, 2));
        return settings(channel, WITHOUT_SHARDS, AdmissionUnit.SHARE, operations);
    }

    private static PlannerSettings polledListSettings(Channel channel) {
        return new PlannerSettings(
                List.of(operation(1000, 1, false)),
                new ColdStart(0.3, 12_000),
                channel,
                WITHOUT_SHARDS,
                AdmissionUnit.NONE,
                true,
                6000,
                true,
                5);
    }
}
