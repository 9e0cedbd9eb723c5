package linenring.controller;

import static linenring.controller.ControlLoopFixture.STEP_MS;
import static linenring.controller.ControlLoopFixture.host;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A few dozen stewards start at once before hosts that have all just started, and proxies join all of them together: every proxy
 * soon has a host to pick, and no host is sent several times what a cold one can do. Each steward decides by itself.
 */
class ColdFleetStartTest {
    private static final double COLD_SHARE = 0.2, WARM_AFTER_MS = 18_000; // as the fixture's settings say
    private static final double PLAYED_MS = WARM_AFTER_MS + 2000;
    private static final double JOIN_LIMIT_MS = 1000;
    /** Sent more than so many times what it can do for so long, a cold host falls over. */
    private static final double OVERLOAD = 4, OVERLOAD_MS = 3000;
    /** What all proxies ask together, of what all hosts can do once they are warm. */
    private static final double UTILISATION = 0.6;

    private final List<ControlLoopFixture> stewards;
    private final int hosts;
    private final double[] startedAt, overloadedSince;

    ColdFleetStartTest() {
        stewards = new java.util.ArrayList<>();
        hosts = 60;
        startedAt = new double[hosts];
        overloadedSince = new double[hosts];
        Arrays.fill(overloadedSince, Double.POSITIVE_INFINITY);
    }

    @ParameterizedTest(name = "{0} stewards of {1} proxies each, the list known beforehand: {2}")
    @CsvSource({"36, 22, true", "36, 22, false", "24, 6, true", "5, 160, true", "5, 160, false"})
    void leavesNoProxyWithoutAHostAndPushesNoColdHostOver(int count, int proxies, boolean known) {
        Arrays.fill(startedAt, ControlLoopFixture.START_MS - 200);
        HostList list = new HostList(
                1,
                true,
                IntStream.range(0, hosts)
                        .mapToObj(h -> host(h, State.READY, startedAt[h]))
                        .toList());
        for (int s = 0; s < count; s++) {
            ControlLoopFixture steward = new ControlLoopFixture(known ? list : null, proxies);
            if (!known) {
                steward.exchange.enqueueHostList(list);
            }
            stewards.add(steward.joinAll(proxies, true));
        }
        play(PLAYED_MS, list);
    }

    /** Half of the hosts start five seconds behind the others: neither half is sent too much. */
    @ParameterizedTest(name = "{0} stewards of {1} proxies each")
    @CsvSource({"36, 22", "24, 6", "5, 160"})
    void pushesNobodyOverWhereHalfOfTheHostsStartLater(int count, int proxies) {
        int first = hosts / 2;
        Arrays.fill(startedAt, 0, first, ControlLoopFixture.START_MS - 200);
        HostList list = new HostList(
                1,
                true,
                IntStream.range(0, first)
                        .mapToObj(h -> host(h, State.READY, startedAt[h]))
                        .toList());
        for (int s = 0; s < count; s++) {
            stewards.add(new ControlLoopFixture(list, proxies).joinAll(proxies, true));
        }
        Arrays.fill(startedAt, first, hosts, Double.POSITIVE_INFINITY);
        play(5000, list);
        double now = stewards.get(0).now();
        Arrays.fill(startedAt, first, hosts, now - 200);
        HostList later = new HostList(
                2,
                false,
                IntStream.range(first, hosts)
                        .mapToObj(h -> host(h, State.READY, startedAt[h]))
                        .toList());
        stewards.forEach(steward -> steward.exchange.enqueueHostList(later));
        play(PLAYED_MS, later);
    }

    private void play(double ms, HostList list) {
        for (double step = 0; step < ms; step += STEP_MS) {
            stewards.forEach(steward -> steward.pass(STEP_MS));
            double now = stewards.get(0).now();
            if (now - ControlLoopFixture.START_MS >= JOIN_LIMIT_MS) {
                for (ControlLoopFixture steward : stewards) {
                    assertFalse(
                            steward.proxies.stream().anyMatch(p -> p.pickable().isEmpty()),
                            "a proxy has no host " + (now - ControlLoopFixture.START_MS) + " ms after the start");
                }
            }
            assertNobodyIsPushedOver(now);
        }
    }

    private void assertNobodyIsPushedOver(double now) {
        double[] load = load();
        for (int h = 0; h < hosts; h++) {
            double age = now - startedAt[h];
            double capacity = Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, age) / WARM_AFTER_MS);
            boolean overloaded = load[h] > OVERLOAD * capacity;
            overloadedSince[h] = overloaded ? Math.min(overloadedSince[h], now) : Double.POSITIVE_INFINITY;
            assertTrue(
                    now - overloadedSince[h] < OVERLOAD_MS,
                    "host " + h + " is sent " + load[h] / capacity + " times what it can do, "
                            + (now - ControlLoopFixture.START_MS) + " ms after the start");
        }
    }

    /** What each host is sent, in units of what a warm one can do: each proxy asks as much as any other. */
    private double[] load() {
        double[] load = new double[hosts];
        long proxies =
                stewards.stream().mapToLong(steward -> steward.proxies.size()).sum();
        double each = UTILISATION
                * Arrays.stream(startedAt)
                        .filter(at -> at < Double.POSITIVE_INFINITY)
                        .count()
                / proxies;
        for (ControlLoopFixture steward : stewards) {
            for (RecordingProxy proxy : steward.proxies) {
                double sum =
                        proxy.pickable().values().stream().mapToDouble(w -> w).sum();
                proxy.pickable()
                        .forEach((host, weight) -> load[Integer.parseInt(host.substring(2))] += each * weight / sum);
            }
        }
        return load;
    }
}
