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
 * A few dozen controllers, all hosts and all proxies start at the same time, and each controller plans independently. Every proxy
 * must soon have a host to pick, and no host may be sent several times the capacity of a host that is still warming up.
 */
class ColdFleetStartTest {
    private static final double COLD_CAPACITY = 0.2;
    private static final double WARM_AFTER_MS = 18_000; // warm-up time in the settings of ControlLoopFixture
    private static final double RUN_MS = WARM_AFTER_MS + 2000;
    private static final double JOIN_LIMIT_MS = 1000;
    /** A warming-up host fails when it is sent more than this multiple of its capacity for {@link #MAX_OVERLOAD_MS}. */
    private static final double OVERLOAD_FACTOR = 4;

    private static final double MAX_OVERLOAD_MS = 3000;
    /** Request rate of all proxies, as a fraction of the capacity of all hosts when warm. */
    private static final double UTILISATION = 0.6;

    private final List<ControlLoopFixture> controllers;
    private final int hostCount;
    private final double[] startedMs;
    private final double[] overloadedSinceMs;

    ColdFleetStartTest() {
        controllers = new ArrayList<>();
        hostCount = 60;
        startedMs = new double[hostCount];
        overloadedSinceMs = new double[hostCount];
        Arrays.fill(overloadedSinceMs, Double.POSITIVE_INFINITY);
    }

    @ParameterizedTest(name = "{0} controllers of {1} proxies each, the list known beforehand: {2}")
    @CsvSource({"36, 22, true", "36, 22, false", "24, 6, true", "5, 160, true", "5, 160, false"})
    void everyProxyGetsAHostAndNoColdHostIsOverloaded(int controllerCount, int proxies, boolean isListKnown) {
        Arrays.fill(startedMs, ControlLoopFixture.START_MS - 200);
        HostList list = new HostList(
                1,
                true,
                IntStream.range(0, hostCount)
                        .mapToObj(number -> host(number, State.READY, startedMs[number]))
                        .toList());
        for (int controllerIndex = 0; controllerIndex < controllerCount; controllerIndex++) {
            ControlLoopFixture controller = new ControlLoopFixture(isListKnown ? list : null, proxies);
            if (!isListKnown) {
                controller.eventQueue().enqueueHostList(list);
            }
            controllers.add(controller.joinAll(proxies, true));
        }
        advanceAndCheck(RUN_MS);
    }

    /** Half of the hosts start five seconds after the others. No host of either half may be overloaded. */
    @ParameterizedTest(name = "{0} controllers of {1} proxies each")
    @CsvSource({"36, 22", "24, 6", "5, 160"})
    void noHostIsOverloadedIfHalfOfThemStartLater(int controllerCount, int proxies) {
        int earlyHostCount = hostCount / 2;
        Arrays.fill(startedMs, 0, earlyHostCount, ControlLoopFixture.START_MS - 200);
        HostList list = new HostList(
                1,
                true,
                IntStream.range(0, earlyHostCount)
                        .mapToObj(number -> host(number, State.READY, startedMs[number]))
                        .toList());
        for (int controllerIndex = 0; controllerIndex < controllerCount; controllerIndex++) {
            controllers.add(new ControlLoopFixture(list, proxies).joinAll(proxies, true));
        }
        Arrays.fill(startedMs, earlyHostCount, hostCount, Double.POSITIVE_INFINITY);
        advanceAndCheck(5000);
        double nowMs = controllers.get(0).nowMs();
        Arrays.fill(startedMs, earlyHostCount, hostCount, nowMs - 200);
        HostList lateHosts = new HostList(
                2,
                false,
                IntStream.range(earlyHostCount, hostCount)
                        .mapToObj(number -> host(number, State.READY, startedMs[number]))
                        .toList());
        controllers.forEach(controller -> controller.eventQueue().enqueueHostList(lateHosts));
        advanceAndCheck(RUN_MS);
    }

    private void advanceAndCheck(double durationMs) {
        for (double elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            controllers.forEach(controller -> controller.advance(STEP_MS));
            double nowMs = controllers.get(0).nowMs();
            if (nowMs - ControlLoopFixture.START_MS >= JOIN_LIMIT_MS) {
                for (ControlLoopFixture controller : controllers) {
                    assertFalse(
                            controller.proxies().stream()
                                    .anyMatch(proxy -> proxy.pickableWeights().isEmpty()),
                            "a proxy has no host to pick " + (nowMs - ControlLoopFixture.START_MS)
                                    + " ms after the start");
                }
            }
            assertNoHostIsOverloaded(nowMs);
        }
    }

    private void assertNoHostIsOverloaded(double nowMs) {
        double[] load = loadByHost();
        for (int host = 0; host < hostCount; host++) {
            double ageMs = nowMs - startedMs[host];
            double capacity = Math.min(1, COLD_CAPACITY + (1 - COLD_CAPACITY) * Math.max(0, ageMs) / WARM_AFTER_MS);
            boolean isOverloaded = load[host] > OVERLOAD_FACTOR * capacity;
            overloadedSinceMs[host] =
                    isOverloaded ? Math.min(overloadedSinceMs[host], nowMs) : Double.POSITIVE_INFINITY;
            assertTrue(
                    nowMs - overloadedSinceMs[host] < MAX_OVERLOAD_MS,
                    "host " + host + " is sent " + load[host] / capacity + " times its capacity, "
                            + (nowMs - ControlLoopFixture.START_MS) + " ms after the start");
        }
    }

    /** Returns the load of each host, as a fraction of a warm host's capacity. All proxies have the same request rate. */
    private double[] loadByHost() {
        double[] load = new double[hostCount];
        long proxies = controllers.stream()
                .mapToLong(controller -> controller.proxies().size())
                .sum();
        double requestsPerProxy = UTILISATION
                * Arrays.stream(startedMs)
                        .filter(hostStartedMs -> hostStartedMs < Double.POSITIVE_INFINITY)
                        .count()
                / proxies;
        for (ControlLoopFixture controller : controllers) {
            for (RecordingProxy proxy : controller.proxies()) {
                double totalWeight = proxy.pickableWeights().values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum();
                proxy.pickableWeights()
                        .forEach((host, weight) ->
                                load[Integer.parseInt(host.substring(2))] += requestsPerProxy * weight / totalWeight);
            }
        }
        return load;
    }
}
