package linenring.controller;

import static linenring.controller.ControlLoopFixture.STEP_MS;
import static linenring.controller.ControlLoopFixture.host;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A few dozen controllers start at once before hosts that have all just started, and proxies join all of them together: every proxy
 * soon has a host to pick, and no host is sent several times what a cold one can do. Each controller decides by itself.
 */
class ColdFleetStartTest {
    private static final double COLD_SHARE = 0.2;
    private static final double WARM_AFTER_MS = 18_000; // as the fixture's settings say
    private static final double PLAYED_MS = WARM_AFTER_MS + 2000;
    private static final double JOIN_LIMIT_MS = 1000;
    /** A cold host falls over where it is sent more than this multiple of its capacity for {@link #OVERLOAD_MS}. */
    private static final double OVERLOAD = 4;

    private static final double OVERLOAD_MS = 3000;
    /** What all proxies ask together, of what all hosts can do once they are warm. */
    private static final double UTILISATION = 0.6;

    private final List<ControlLoopFixture> controllers;
    private final int hosts;
    private final double[] startedAt;
    private final double[] overloadedSince;

    ColdFleetStartTest() {
        controllers = new ArrayList<>();
        hosts = 60;
        startedAt = new double[hosts];
        overloadedSince = new double[hosts];
        Arrays.fill(overloadedSince, Double.POSITIVE_INFINITY);
    }

    @ParameterizedTest(name = "{0} controllers of {1} proxies each, the list known beforehand: {2}")
    @CsvSource({"36, 22, true", "36, 22, false", "24, 6, true", "5, 160, true", "5, 160, false"})
    void leavesNoProxyWithoutAHostAndOverloadsNoColdHost(int count, int proxies, boolean known) {
        Arrays.fill(startedAt, ControlLoopFixture.START_MS - 200);
        HostList list = new HostList(
                1,
                true,
                IntStream.range(0, hosts)
                        .mapToObj(number -> host(number, State.READY, startedAt[number]))
                        .toList());
        for (int s = 0; s < count; s++) {
            ControlLoopFixture controller = new ControlLoopFixture(known ? list : null, proxies);
            if (!known) {
                controller.eventQueue().enqueueHostList(list);
            }
            controllers.add(controller.joinAll(proxies, true));
        }
        play(PLAYED_MS);
    }

    /** Half of the hosts start five seconds behind the others: neither half is sent too much. */
    @ParameterizedTest(name = "{0} controllers of {1} proxies each")
    @CsvSource({"36, 22", "24, 6", "5, 160"})
    void overloadsNoHostIfHalfOfThemStartLater(int count, int proxies) {
        int first = hosts / 2;
        Arrays.fill(startedAt, 0, first, ControlLoopFixture.START_MS - 200);
        HostList list = new HostList(
                1,
                true,
                IntStream.range(0, first)
                        .mapToObj(number -> host(number, State.READY, startedAt[number]))
                        .toList());
        for (int s = 0; s < count; s++) {
            controllers.add(new ControlLoopFixture(list, proxies).joinAll(proxies, true));
        }
        Arrays.fill(startedAt, first, hosts, Double.POSITIVE_INFINITY);
        play(5000);
        double now = controllers.get(0).now();
        Arrays.fill(startedAt, first, hosts, now - 200);
        HostList later = new HostList(
                2,
                false,
                IntStream.range(first, hosts)
                        .mapToObj(number -> host(number, State.READY, startedAt[number]))
                        .toList());
        controllers.forEach(controller -> controller.eventQueue().enqueueHostList(later));
        play(PLAYED_MS);
    }

    private void play(double durationMs) {
        for (double step = 0; step < durationMs; step += STEP_MS) {
            controllers.forEach(controller -> controller.pass(STEP_MS));
            double now = controllers.get(0).now();
            if (now - ControlLoopFixture.START_MS >= JOIN_LIMIT_MS) {
                for (ControlLoopFixture controller : controllers) {
                    assertFalse(
                            controller.proxies().stream()
                                    .anyMatch(proxy -> proxy.pickable().isEmpty()),
                            "a proxy has no host " + (now - ControlLoopFixture.START_MS) + " ms after the start");
                }
            }
            assertNoHostIsOverloaded(now);
        }
    }

    private void assertNoHostIsOverloaded(double now) {
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
        long proxies = controllers.stream()
                .mapToLong(controller -> controller.proxies().size())
                .sum();
        double each = UTILISATION
                * Arrays.stream(startedAt)
                        .filter(started -> started < Double.POSITIVE_INFINITY)
                        .count()
                / proxies;
        for (ControlLoopFixture controller : controllers) {
            for (RecordingProxy proxy : controller.proxies()) {
                double sum = proxy.pickable().values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum();
                proxy.pickable()
                        .forEach((host, weight) -> load[Integer.parseInt(host.substring(2))] += each * weight / sum);
            }
        }
        return load;
    }
}
