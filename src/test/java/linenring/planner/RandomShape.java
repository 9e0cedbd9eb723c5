package linenring.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.planner.PlannerSettings.Channel;
import linenring.planner.PlannerSettings.ColdStart;
import linenring.planner.PlannerSettings.Operation;
import linenring.planner.PlannerSettings.Shards;
import linenring.planner.RandomFleet.Shape;

/**
 * Draws the settings and the fleet of a random history from wide ranges, so that some seeds produce rare
 * combinations of them.
 */
final class RandomShape {
    private static final List<AdmissionUnit> MEASURES =
            List.of(AdmissionUnit.SHARE, AdmissionUnit.PER_SECOND, AdmissionUnit.NONE);

    private final Random random;

    private RandomShape(long seed) {
        random = new Random(seed);
    }

    static Shape draw(long seed) {
        return new RandomShape(seed).draw();
    }

    /**
     * Draws a fleet whose proxies rejoin often under a low limit on messages. Binds then wait beside large
     * sub-updates, where the rule on queue depth decides.
     */
    static Shape drawWaitingBinds(long seed) {
        return new RandomShape(seed).drawWaitingBinds();
    }

    private Shape drawWaitingBinds() {
        double entriesPerSecond = 300 + random.nextInt(3000);
        Channel channel = new Channel(
                entriesPerSecond,
                1 + random.nextInt(4),
                entriesPerSecond * (2 + random.nextInt(10)),
                4 + random.nextInt(6),
                4000 + random.nextInt(6000),
                10 + random.nextInt(60),
                250,
                5000);
        PlannerSettings settings = new PlannerSettings(
                List.of(new Operation(1000, 1, -1, -1, false, 3)),
                new ColdStart(0.2, 8000),
                channel,
                new Shards(0, false, 0, 0),
                AdmissionUnit.SHARE,
                false,
                0,
                false,
                2 + random.nextInt(6));
        return new Shape(
                settings,
                10 + random.nextInt(30),
                10 + random.nextInt(40),
                2,
                1 + random.nextInt(2),
                6,
                0.1,
                0.5 + random.nextDouble(),
                0.01 * random.nextDouble(),
                0.01 * random.nextDouble(),
                0.9,
                0.9,
                0,
                0,
                100,
                0);
    }

    private Shape draw() {
        int zones = 1 + random.nextInt(3);
        PlannerSettings settings = settings(zones);
        double minRelativeLatency = uniform(0.05, 0.4);
        return new Shape(
                settings,
                3 + random.nextInt(30),
                2 + random.nextInt(40),
                zones,
                1 + random.nextInt(3),
                logarithmic(0.15, 30),
                minRelativeLatency,
                minRelativeLatency + uniform(0, 1.2),
                zeroOrLogarithmic(0.001, 0.1),
                zeroOrLogarithmic(0.001, 0.05),
                uniform(0, 0.8),
                uniform(0, 0.8),
                zones > 1 && random.nextBoolean() ? uniform(0.1, 0.3) : 0,
                random.nextBoolean() ? 0 : 2 + random.nextInt(4),
                40 + random.nextInt(60),
                random.nextInt(3) == 0 ? uniform(0, 30_000) : 0);
    }

    private PlannerSettings settings(int zones) {
        return new PlannerSettings(
                operations(zones),
                new ColdStart(uniform(0.02, 0.5), uniform(1000, 15_000)),
                channel(),
                new Shards(0, false, 0, 0),
                MEASURES.get(random.nextInt(MEASURES.size())),
                false,
                0,
                random.nextBoolean(),
                1 + random.nextInt(8));
    }

    private List<Operation> operations(int zones) {
        List<Operation> operations = new ArrayList<>();
        boolean homeZoneOnly = random.nextInt(5) == 0;
        for (int i = 0; i <= random.nextInt(3); i++) {
            operations.add(
                    new Operation(logarithmic(300, 3000), uniform(1, 5), zoneMask(zones), -1, homeZoneOnly, zones));
        }
        return operations;
    }

    private long zoneMask(int zones) {
        return zones > 1 && random.nextInt(3) == 0 ? 1L << random.nextInt(zones) : -1;
    }

    private Channel channel() {
        double entriesPerSecond = logarithmic(80, 5000);
        double transitMs = uniform(20, 400);
        return new Channel(
                entriesPerSecond,
                1 + random.nextInt(5),
                entriesPerSecond * uniform(0.5, 12),
                random.nextBoolean() ? 0 : 4 + random.nextInt(30),
                uniform(2000, 10_000),
                transitMs,
                transitMs * logarithmic(1.2, 15),
                uniform(1000, 6000));
    }

    private double uniform(double low, double high) {
        return low + (high - low) * random.nextDouble();
    }

    private double logarithmic(double low, double high) {
        return low * Math.pow(high / low, random.nextDouble());
    }

    private double zeroOrLogarithmic(double low, double high) {
        return random.nextBoolean() ? 0 : logarithmic(low, high);
    }
}
