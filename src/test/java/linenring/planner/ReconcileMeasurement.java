package linenring.planner;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.planner.PlannerSettings.Channel;
import linenring.planner.PlannerSettings.ColdStart;
import linenring.planner.PlannerSettings.Shards;

/** Measures the time that the planner takes for one input at various fleet sizes, in milliseconds; run by hand. */
final class ReconcileMeasurement {
    private static final int REPORTS = 10;

    private final int hosts;
    private final int proxies;
    private final int zones;
    private final FakeProxies fleet;
    private final Planner planner;

    private ReconcileMeasurement(int hosts, int proxies, int zones) {
        this.hosts = hosts;
        this.proxies = proxies;
        this.zones = zones;
        fleet = new FakeProxies(settings(proxies));
        planner = fleet.planner();
    }

    public static void main(String[] args) {
        System.out.println(
                "| hosts x proxies | zones | all proxies join | one acknowledgement | load reports of all hosts"
                        + " and a reconciliation | a tenth of the hosts drains | all proxies rejoin |");
        for (int size : new int[] {64, 64, 128, 256, 512, 1024}) {
            for (int zones : new int[] {3, 64}) {
                System.out.println(new ReconcileMeasurement(size, size, zones).measureRow());
            }
        }
    }

    private static PlannerSettings settings(int proxies) {
        return new PlannerSettings(
                List.of(
                        FakeProxies.operation(2, FakeProxies.ALL),
                        FakeProxies.operation(3, FakeProxies.ALL),
                        FakeProxies.operation(3, FakeProxies.ALL)),
                new ColdStart(0.2, 18_000),
                new Channel(1200, 4, 22.0 * proxies, 30, 10_000, 200, 500, 16_000),
                new Shards(0, false, 0, 0),
                AdmissionUnit.SHARE,
                false,
                0,
                false,
                6);
    }

    private String measureRow() {
        planner.advanceClock(fleet.nowMs());
        planner.beginHostList(true);
        for (int host = 0; host < hosts; host++) {
            planner.hostReady(host, host % zones, host / zones % 2, 1, Double.NEGATIVE_INFINITY);
        }
        planner.endHostList();
        fleet.reconcile();
        double joinMs = measure(this::joinAllProxies);
        fleet.joined().addAll(IntStream.range(0, proxies).boxed().toList());
        fleet.advance(20_000);
        int nonce = fleet.acknowledgementRequests();
        double acknowledgementMs = measure(() -> planner.messageAcknowledged(0, nonce, 100));
        double reportMs = 0;
        for (int report = 1; report <= REPORTS; report++) {
            double atMs = fleet.nowMs() + 500 * report;
            reportMs += measure(() -> reportAllHosts(atMs)) / REPORTS;
        }
        double drainMs = measure(this::drainTenthOfHosts);
        double rejoinMs = measure(this::joinAllProxies);
        return String.format(
                Locale.ROOT,
                "| %d x %d | %d | %.1f | %.2f | %.1f | %.1f | %.1f |",
                hosts,
                proxies,
                zones,
                joinMs,
                acknowledgementMs,
                reportMs,
                drainMs,
                rejoinMs);
    }

    private void joinAllProxies() {
        for (int proxy = 0; proxy < proxies; proxy++) {
            planner.proxyJoined(proxy, proxy % zones, 1 + proxy % 7);
        }
        planner.reconcile();
    }

    private void reportAllHosts(double atMs) {
        planner.advanceClock(atMs);
        for (int host = 0; host < hosts; host++) {
            planner.hostStatistics(host, host % zones, 20, host % 50 == 0 ? 3 : 0, 200, 1000);
        }
        planner.reconcile();
    }

    private void drainTenthOfHosts() {
        planner.beginHostList(false);
        for (int host = 0; host < hosts / 10; host++) {
            planner.hostDraining(host, host % zones, host / zones % 2, 1);
        }
        planner.endHostList();
        planner.reconcile();
    }

    private static double measure(Runnable input) {
        long startNanos = System.nanoTime();
        input.run();
        return (System.nanoTime() - startNanos) / 1e6;
    }
}
