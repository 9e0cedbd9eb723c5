package linenring.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Checks that a planner which is called only for inputs and at due times takes the same decisions as a planner
 * that is called at every tick.
 */
class IdlePlannerTest {
    private static final int HOSTS = 12;
    private static final int PROXIES = 6;
    private static final int HOUR_MS = 3_600_000;

    @Property(tries = 60)
    void decidesLikePlannerCalledAtEveryTick(@ForAll long seed) {
        PlannerHistory everyTick = history(seed, true);
        PlannerHistory onDemand = history(seed, false);
        assertSameDecisions(everyTick.decisions(), onDemand.decisions());
        assertTrue(onDemand.callCount() <= everyTick.callCount());
    }

    @Test
    void isNotCalledWhileNothingIsDue() {
        PlannerHistory history = new PlannerHistory(false, false);
        startFleet(history);
        history.playTo(120_000); // by this time the joins are acknowledged and the first admission ratios are written
        int callsBeforeIdleHour = history.callCount();
        history.playTo(120_000 + HOUR_MS);
        assertEquals(callsBeforeIdleHour, history.callCount());
    }

    @Test
    void startsProbationOfUnhealthyHostWithoutReports() {
        PlannerHistory history = new PlannerHistory(false, false);
        startFleet(history);
        history.playTo(20_000);
        history.at(20_000, planner -> {
            for (int host = 0; host < HOSTS; host++) {
                planner.hostStatistics(host, 0, 20, host == 3 ? 20 : 0, 100, 1000);
            }
        });
        history.playTo(40_000);
        assertTrue(
                history.decisions().stream().anyMatch(decision -> decision.endsWith("eject 3 true")),
                "host 3 was ejected");
        assertTrue(
                history.decisions().stream().anyMatch(decision -> decision.endsWith("eject 3 false")),
                "host 3 was restored after its ejection");
    }

    private static void assertSameDecisions(List<String> expected, List<String> actual) {
        for (int i = 0; i < Math.min(expected.size(), actual.size()); i++) {
            assertEquals(
                    expected.get(i),
                    actual.get(i),
                    "decision " + i + " after " + expected.subList(Math.max(0, i - 3), i));
        }
        assertEquals(expected.size(), actual.size());
    }

    private static void startFleet(PlannerHistory history) {
        history.at(0, planner -> {
            planner.beginHostList(true);
            for (int host = 0; host < HOSTS; host++) {
                planner.hostReady(host, host % 2, 0, 1, Double.NEGATIVE_INFINITY);
            }
            planner.endHostList();
            for (int proxy = 0; proxy < PROXIES; proxy++) {
                planner.proxyJoined(proxy, proxy % 2, 3);
            }
        });
    }

    /**
     * Creates a history of some minutes with random host lists, joins, disconnections and load reports, and with
     * pauses of up to two minutes.
     */
    private static PlannerHistory history(long seed, boolean everyTick) {
        Random random = new Random(seed);
        PlannerHistory history = new PlannerHistory(everyTick, random.nextBoolean());
        startFleet(history);
        int elapsedMs = 0;
        for (int event = 0; event < 40; event++) {
            elapsedMs += random.nextInt(4) == 0 ? random.nextInt(120_000) : random.nextInt(400);
            elapsedMs +=
                    elapsedMs % 100 == 99 ? 1 : 0; // an input in the millisecond before a tick would count as the tick
            addEvent(history, elapsedMs, random);
        }
        history.playTo(elapsedMs + 200_000);
        return history;
    }

    private static void addEvent(PlannerHistory history, int elapsedMs, Random random) {
        int host = random.nextInt(HOSTS + 4);
        int proxy = random.nextInt(PROXIES);
        int unlistedHost = HOSTS + 4 + random.nextInt(8);
        int requests = random.nextInt(50);
        int failed = random.nextInt(3) == 0 ? random.nextInt(20) : 0;
        double meanMs = 50 + random.nextInt(1500);
        Consumer<Planner> event = switch (random.nextInt(9)) {
            case 0 -> planner -> startHost(planner, host, history.nowMs());
            case 1 -> planner -> drainHost(planner, host);
            case 2 -> planner -> readCompleteList(planner, host);
            case 3 -> planner -> planner.proxyJoined(proxy, proxy % 2, 1 + proxy);
            case 4 -> planner -> planner.proxyDisconnected(proxy);
            case 5 -> planner -> planner.requestRate(proxy, 0, 1000, requests);
            case 6 -> planner -> planner.hostStatistics(host, proxy % 2, 20, failed, meanMs, 1000);
            // the unlisted host starts on probation
            case 7 -> planner -> startHost(planner, unlistedHost, Double.NEGATIVE_INFINITY);
            default -> planner -> reportAllHosts(planner, host, failed, meanMs);
        };
        history.at(elapsedMs, event);
    }

    private static void startHost(Planner planner, int host, double startedMs) {
        planner.beginHostList(false);
        planner.hostReady(host, host < HOSTS + 4 ? host % 2 : 0, 0, 1, startedMs);
        planner.endHostList();
    }

    private static void drainHost(Planner planner, int host) {
        planner.beginHostList(false);
        planner.hostDraining(host, host % 2, 0, 1);
        planner.endHostList();
    }

    private static void readCompleteList(Planner planner, int host) {
        planner.beginHostList(true);
        for (int listed : List.of(0, 1, 2, 3, 4, host)) {
            planner.hostReady(listed, listed % 2, 0, 1, Double.NEGATIVE_INFINITY);
        }
        planner.endHostList();
    }

    private static void reportAllHosts(Planner planner, int failingHost, int failed, double meanMs) {
        for (int host = 0; host < HOSTS; host++) {
            planner.hostStatistics(host, host % 2, 20, host == failingHost ? failed : 0, meanMs, 1000);
        }
    }
}
