package linenring.planner;

import java.util.Locale;

/** How long one input takes at size, in milliseconds; run by hand. */
final class ReconcileMeasurement {
    private ReconcileMeasurement() {}

    public static void main(String[] args) {
        System.out.println(
                "| hosts x proxies | zones | all join | an answer | sums of all, and a settle | a tenth drains | all join again |");
        for (int[] size : new int[][] {{64, 64}, {64, 64}, {128, 128}, {256, 256}, {512, 512}, {1024, 1024}}) {
            for (int zones : new int[] {3, 64}) {
                System.out.println(row(size[0], size[1], zones));
            }
        }
    }

    private static String row(int hosts, int proxies, int zones) {
        PlannerSettings f = new PlannerSettings(
                java.util.List.of(
                        FakeHost.operation(2, FakeHost.ALL),
                        FakeHost.operation(3, FakeHost.ALL),
                        FakeHost.operation(3, FakeHost.ALL)),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(1200, 4, 22.0 * proxies, 30, 10_000, 200, 500, 16_000),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
        FakeHost host = new FakeHost(f);
        Planner planner = host.planner;
        planner.clock(host.now);
        planner.beginHostList(true);
        for (int h = 0; h < hosts; h++) {
            planner.hostReady(h, h % zones, h / zones % 2, 1, Double.NEGATIVE_INFINITY);
        }
        planner.endHostList();
        host.settle();
        Runnable all = () -> {
            for (int p = 0; p < proxies; p++) {
                planner.joined(p, p % zones, 1 + p % 7);
            }
            planner.reconcile();
        };
        double join = took(all);
        host.joined.addAll(java.util.stream.IntStream.range(0, proxies).boxed().toList());
        host.pass(20_000);
        int mark = host.barriers;
        double answer = took(() -> planner.barrierAcknowledged(0, mark, 100));
        double sums = 0;
        for (int i = 0; i < 10; i++) {
            sums += took(() -> {
                        planner.clock(host.now += 500);
                        for (int h = 0; h < hosts; h++) {
                            planner.hostStatistics(h, h % zones, 20, h % 50 == 0 ? 3 : 0, 200, 1000);
                        }
                        planner.reconcile();
                    })
                    / 10;
        }
        double drain = took(() -> {
            planner.beginHostList(false);
            for (int h = 0; h < hosts / 10; h++) {
                planner.hostDraining(h, h % zones, h / zones % 2, 1);
            }
            planner.endHostList();
            planner.reconcile();
        });
        double again = took(all);
        return String.format(
                Locale.ROOT,
                "| %d x %d | %d | %.1f | %.2f | %.1f | %.1f | %.1f |",
                hosts,
                proxies,
                zones,
                join,
                answer,
                sums,
                drain,
                again);
    }

    private static double took(Runnable what) {
        long at = System.nanoTime();
        what.run();
        return (System.nanoTime() - at) / 1e6;
    }
}
