package linenring.controller;

import static linenring.controller.ControlLoopFixture.GRACE_MS;
import static linenring.controller.ControlLoopFixture.LONG_AGO;
import static linenring.controller.ControlLoopFixture.SOCKET_SLACK_MS;
import static linenring.controller.ControlLoopFixture.host;
import static linenring.controller.ControlLoopFixture.warmHosts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Discovery may send the complete list where changes were due, at any moment: it must lead to the same tables. */
class CompleteListsTest {
    private static final int HOSTS = 24;
    private static final int PROXIES = 6;
    private static final Set<String> DRAINING = Set.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5");

    /** The list as discovery holds it, and the changes of one step. */
    private static final class Catalogue {
        private final TreeMap<String, HostList.Entry> listed = new TreeMap<>();
        private final List<HostList.Entry> changes = new ArrayList<>();
        private long version = 1;

        void put(HostList.Entry entry) {
            changes.add(entry);
            if (entry.state() == State.GONE) {
                listed.remove(entry.host());
            } else {
                listed.put(entry.host(), entry);
            }
        }

        HostList nextChanges() {
            return new HostList(++version, false, List.copyOf(changes));
        }

        HostList complete() {
            return new HostList(version, true, List.copyOf(listed.values()));
        }
    }

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void completeListsLeadToTheSameTablesAsChanges(int seed) {
        ControlLoopFixture byChanges = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES).joinAll(PROXIES, true);
        ControlLoopFixture byWholeLists = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES).joinAll(PROXIES, true);
        Catalogue catalogue = new Catalogue();
        warmHosts(1, HOSTS).entries().forEach(catalogue::put);
        Random chance = new Random(seed);
        for (int step = 0; step < 120; step++) {
            catalogue.changes.clear();
            changeSomeHosts(catalogue, byChanges.now(), chance);
            HostList changes = catalogue.nextChanges();
            byChanges.eventQueue().enqueueHostList(changes);
            byWholeLists.eventQueue().enqueueHostList(step % 3 == 0 ? changes : catalogue.complete());
            double stepMs = 100 + 50 * chance.nextInt(12);
            byChanges.pass(stepMs);
            byWholeLists.pass(stepMs);
            assertEquals(tables(byChanges), tables(byWholeLists), "after step " + step);
        }
        RecordingProxy any = byWholeLists.proxies().get(0);
        assertTrue(any.ejectedAt().size() > 10 && any.restoredAt().size() > 5, "hosts went and came");
    }

    private static void changeSomeHosts(Catalogue catalogue, double now, Random chance) {
        for (int change = chance.nextInt(4); change > 0; change--) {
            int number = chance.nextInt(HOSTS + 8);
            HostList.Entry held = catalogue.listed.get("s-" + number);
            State next = held == null
                    ? State.READY
                    : held.state() == State.TERMINATING && chance.nextInt(3) > 0 ? State.GONE : State.TERMINATING;
            long ready = catalogue.listed.values().stream()
                    .filter(entry -> entry.state() == State.READY)
                    .count();
            if (next == State.READY || ready > HOSTS / 2) {
                catalogue.put(host(number, next, next == State.READY ? now : LONG_AGO));
            }
        }
    }

    private static List<String> tables(ControlLoopFixture fixture) {
        return fixture.proxies().stream()
                .map(proxy -> proxy.weights() + " without " + proxy.ejected())
                .toList();
    }

    /** Drains wait, since the channel has no room for all at once, when a complete list names the same hosts again. */
    @ParameterizedTest(name = "complete list {0} ms after the change")
    @ValueSource(ints = {50, 100, 250, 1000, 3000})
    void completeListDuringADrainRepeatsAndDelaysNoEjection(int afterMs) {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), 40, 280)
                .joinAll(40, true)
                .pass(20_000);
        double announcedMs = fixture.now();
        fixture.eventQueue().enqueueHostList(new HostList(2, false, draining()));
        fixture.pass(ControlLoopFixture.STEP_MS);
        assertTrue(
                fixture.proxies().stream().anyMatch(proxy -> proxy.ejected().size() < DRAINING.size()),
                "some of the drains wait for room");
        fixture.pass(afterMs - ControlLoopFixture.STEP_MS);
        List<HostList.Entry> complete = new ArrayList<>(draining());
        IntStream.range(DRAINING.size(), HOSTS).forEach(number -> complete.add(host(number, State.READY, LONG_AGO)));
        fixture.eventQueue().enqueueHostList(new HostList(3, true, complete));
        fixture.pass(10_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(DRAINING, proxy.ejected());
            for (String host : DRAINING) {
                assertEquals(1, proxy.ejectedAt().get(host).size(), host + " is ejected once to proxy " + proxy.id());
                assertInGrace(announcedMs, proxy, host);
            }
            assertTrue(proxy.restoredAt().isEmpty(), "nobody is restored: " + proxy.restoredAt());
        }
    }

    /** The hosts that drained have gone by the time of a complete list, which names neither them nor one other host. */
    @Test
    void completeListWithoutADrainingHostKeepsItEjectedAndEjectsOtherUnnamedHosts() {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES)
                .joinAll(PROXIES, true)
                .pass(20_000);
        fixture.eventQueue().enqueueHostList(new HostList(2, false, draining()));
        fixture.pass(ControlLoopFixture.STEP_MS);
        double announcedMs = fixture.now();
        fixture.eventQueue()
                .enqueueHostList(new HostList(
                        3,
                        true,
                        IntStream.range(DRAINING.size() + 1, HOSTS)
                                .mapToObj(number -> host(number, State.READY, LONG_AGO))
                                .toList()));
        fixture.pass(10_000);
        Set<String> gone = new TreeSet<>(DRAINING);
        gone.add("s-" + DRAINING.size());
        for (RecordingProxy proxy : fixture.proxies()) {
            assertFalse(proxy.pickable().keySet().stream().anyMatch(gone::contains), "picks one that is gone");
            assertEquals(HOSTS - gone.size(), proxy.pickable().size());
            gone.forEach(host -> assertInGrace(announcedMs, proxy, host));
            gone.forEach(host -> assertEquals(1, proxy.ejectedAt().get(host).size(), host + " is ejected once"));
        }
    }

    /** A host that drained is listed as ready again, with a later start: it comes back, and as a cold one. */
    @Test
    void completeListWithADrainingHostRestartedRestoresItAsAColdHost() {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES)
                .joinAll(PROXIES, true)
                .pass(20_000);
        fixture.eventQueue().enqueueHostList(new HostList(2, false, draining()));
        fixture.pass(3000);
        List<HostList.Entry> complete = new ArrayList<>(List.of(host(0, State.READY, fixture.now())));
        IntStream.range(DRAINING.size(), HOSTS).forEach(number -> complete.add(host(number, State.READY, LONG_AGO)));
        fixture.eventQueue().enqueueHostList(new HostList(3, true, complete));
        fixture.pass(2000);
        for (RecordingProxy proxy : fixture.proxies()) {
            double cold = proxy.pickable().getOrDefault("s-0", 0.0);
            double warm = proxy.pickable().get("s-" + (HOSTS - 1));
            assertTrue(cold > 0 && cold < 0.8 * warm, "weight " + cold + " beside " + warm);
        }
        fixture.pass(30_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(
                    proxy.pickable().get("s-" + (HOSTS - 1)), proxy.pickable().get("s-0"), 0.01);
        }
    }

    /** Entries that can't be read may be hosts that serve: such a list withdraws nobody for not being named. */
    @Test
    void completeListWithInvalidEntriesRemovesNoUnnamedHost() {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES)
                .joinAll(PROXIES, true)
                .pass(20_000);
        fixture.eventQueue().enqueueHostList(new HostList(2, true, draining(), List.of("s-9: no zone")));
        fixture.pass(5000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(DRAINING, proxy.ejected());
            assertEquals(HOSTS - DRAINING.size(), proxy.pickable().size());
        }
    }

    private static List<HostList.Entry> draining() {
        return IntStream.range(0, DRAINING.size())
                .mapToObj(number -> host(number, State.TERMINATING, LONG_AGO))
                .collect(Collectors.toList());
    }

    private static void assertInGrace(double announcedMs, RecordingProxy proxy, String host) {
        double inForce = proxy.ejectedAt().get(host).get(0) + ControlLoopFixture.TRANSIT_MS;
        assertTrue(
                inForce - announcedMs <= GRACE_MS + SOCKET_SLACK_MS,
                host + " is out at proxy " + proxy.id() + " " + (inForce - announcedMs) + " ms after the change");
    }
}
