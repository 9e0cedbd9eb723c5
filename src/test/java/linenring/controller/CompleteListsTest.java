package linenring.controller;

import static linenring.controller.ControlLoopFixture.GRACE_MS;
import static linenring.controller.ControlLoopFixture.SOCKET_TOLERANCE_MS;
import static linenring.controller.ControlLoopFixture.STARTED_LONG_AGO;
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

/** Discovery may send the complete host list instead of changes at any time. Both must lead to the same tables. */
class CompleteListsTest {
    private static final int HOSTS = 24;
    private static final int PROXIES = 6;
    private static final Set<String> DRAINING_HOSTS = Set.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5");

    /** The host list that discovery holds, and the changes to it in one step of the test. */
    private static final class Catalogue {
        private final TreeMap<String, HostList.Entry> listed = new TreeMap<>();
        private final List<HostList.Entry> changes = new ArrayList<>();
        private long version = 1;

        void applyEntry(HostList.Entry entry) {
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
        ControlLoopFixture fleetWithDeltas =
                new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES).joinAll(PROXIES, true);
        ControlLoopFixture fleetWithCompleteLists =
                new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES).joinAll(PROXIES, true);
        Catalogue catalogue = new Catalogue();
        warmHosts(1, HOSTS).entries().forEach(catalogue::applyEntry);
        Random random = new Random(seed);
        for (int step = 0; step < 120; step++) {
            catalogue.changes.clear();
            changeSomeHosts(catalogue, fleetWithDeltas.nowMs(), random);
            HostList changes = catalogue.nextChanges();
            fleetWithDeltas.eventQueue().enqueueHostList(changes);
            fleetWithCompleteLists.eventQueue().enqueueHostList(step % 3 == 0 ? changes : catalogue.complete());
            double stepMs = 100 + 50 * random.nextInt(12);
            fleetWithDeltas.advance(stepMs);
            fleetWithCompleteLists.advance(stepMs);
            assertEquals(tables(fleetWithDeltas), tables(fleetWithCompleteLists), "after step " + step);
        }
        RecordingProxy any = fleetWithCompleteLists.proxies().get(0);
        assertTrue(
                any.ejectionTimesMs().size() > 10 && any.restorationTimesMs().size() > 5,
                "too few hosts were ejected and restored for a useful comparison");
    }

    private static void changeSomeHosts(Catalogue catalogue, double nowMs, Random random) {
        for (int change = random.nextInt(4); change > 0; change--) {
            int number = random.nextInt(HOSTS + 8);
            HostList.Entry listedEntry = catalogue.listed.get("s-" + number);
            State nextState = listedEntry == null
                    ? State.READY
                    : listedEntry.state() == State.TERMINATING && random.nextInt(3) > 0
                            ? State.GONE
                            : State.TERMINATING;
            long readyHosts = catalogue.listed.values().stream()
                    .filter(entry -> entry.state() == State.READY)
                    .count();
            if (nextState == State.READY || readyHosts > HOSTS / 2) {
                catalogue.applyEntry(host(number, nextState, nextState == State.READY ? nowMs : STARTED_LONG_AGO));
            }
        }
    }

    private static List<String> tables(ControlLoopFixture fixture) {
        return fixture.proxies().stream()
                .map(proxy -> proxy.weights() + " without " + proxy.ejected())
                .toList();
    }

    /** A complete list names the draining hosts again while some drains are deferred for lack of room in the channel. */
    @ParameterizedTest(name = "complete list {0} ms after the change")
    @ValueSource(ints = {50, 100, 250, 1000, 3000})
    void completeListDuringADrainRepeatsAndDelaysNoEjection(int afterMs) {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), 40, 280)
                .joinAll(40, true)
                .advance(20_000);
        double announcedMs = fixture.nowMs();
        fixture.eventQueue().enqueueHostList(new HostList(2, false, drainingEntries()));
        fixture.advance(ControlLoopFixture.STEP_MS);
        assertTrue(
                fixture.proxies().stream().anyMatch(proxy -> proxy.ejected().size() < DRAINING_HOSTS.size()),
                "expected some drains to be deferred for lack of room in the channel");
        fixture.advance(afterMs - ControlLoopFixture.STEP_MS);
        List<HostList.Entry> completeList = new ArrayList<>(drainingEntries());
        IntStream.range(DRAINING_HOSTS.size(), HOSTS)
                .forEach(number -> completeList.add(host(number, State.READY, STARTED_LONG_AGO)));
        fixture.eventQueue().enqueueHostList(new HostList(3, true, completeList));
        fixture.advance(10_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(DRAINING_HOSTS, proxy.ejected());
            for (String host : DRAINING_HOSTS) {
                assertEquals(
                        1,
                        proxy.ejectionTimesMs().get(host).size(),
                        host + " must be ejected exactly once at proxy " + proxy.id());
                assertEjectedInGrace(announcedMs, proxy, host);
            }
            assertTrue(
                    proxy.restorationTimesMs().isEmpty(),
                    "no host may be restored, but were: " + proxy.restorationTimesMs());
        }
    }

    /** A complete list names neither the draining hosts, which are removed by then, nor one further host. */
    @Test
    void completeListWithoutADrainingHostKeepsItEjectedAndEjectsOtherUnnamedHosts() {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES)
                .joinAll(PROXIES, true)
                .advance(20_000);
        fixture.eventQueue().enqueueHostList(new HostList(2, false, drainingEntries()));
        fixture.advance(ControlLoopFixture.STEP_MS);
        double announcedMs = fixture.nowMs();
        fixture.eventQueue()
                .enqueueHostList(new HostList(
                        3,
                        true,
                        IntStream.range(DRAINING_HOSTS.size() + 1, HOSTS)
                                .mapToObj(number -> host(number, State.READY, STARTED_LONG_AGO))
                                .toList()));
        fixture.advance(10_000);
        Set<String> removedHosts = new TreeSet<>(DRAINING_HOSTS);
        removedHosts.add("s-" + DRAINING_HOSTS.size());
        for (RecordingProxy proxy : fixture.proxies()) {
            assertFalse(
                    proxy.pickableWeights().keySet().stream().anyMatch(removedHosts::contains),
                    "the proxy can still pick a removed host");
            assertEquals(HOSTS - removedHosts.size(), proxy.pickableWeights().size());
            removedHosts.forEach(host -> assertEjectedInGrace(announcedMs, proxy, host));
            removedHosts.forEach(host ->
                    assertEquals(1, proxy.ejectionTimesMs().get(host).size(), host + " must be ejected exactly once"));
        }
    }

    /**
     * A host that has drained is listed as ready again with a later start time. It must be restored and warm up like a new host.
     */
    @Test
    void completeListWithADrainingHostRestartedRestoresItAsAColdHost() {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES)
                .joinAll(PROXIES, true)
                .advance(20_000);
        fixture.eventQueue().enqueueHostList(new HostList(2, false, drainingEntries()));
        fixture.advance(3000);
        List<HostList.Entry> completeList = new ArrayList<>(List.of(host(0, State.READY, fixture.nowMs())));
        IntStream.range(DRAINING_HOSTS.size(), HOSTS)
                .forEach(number -> completeList.add(host(number, State.READY, STARTED_LONG_AGO)));
        fixture.eventQueue().enqueueHostList(new HostList(3, true, completeList));
        fixture.advance(2000);
        for (RecordingProxy proxy : fixture.proxies()) {
            double restartedWeight = proxy.pickableWeights().getOrDefault("s-0", 0.0);
            double warmWeight = proxy.pickableWeights().get("s-" + (HOSTS - 1));
            assertTrue(
                    restartedWeight > 0 && restartedWeight < 0.8 * warmWeight,
                    "weight of the restarted host " + restartedWeight + ", of a warm host " + warmWeight);
        }
        fixture.advance(30_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(
                    proxy.pickableWeights().get("s-" + (HOSTS - 1)),
                    proxy.pickableWeights().get("s-0"),
                    0.01);
        }
    }

    /**
     * An invalid entry may stand for a serving host. A complete list with invalid entries must not remove the hosts it does not
     * name.
     */
    @Test
    void completeListWithInvalidEntriesRemovesNoUnnamedHost() {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES)
                .joinAll(PROXIES, true)
                .advance(20_000);
        fixture.eventQueue().enqueueHostList(new HostList(2, true, drainingEntries(), List.of("s-9: no zone")));
        fixture.advance(5000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(DRAINING_HOSTS, proxy.ejected());
            assertEquals(HOSTS - DRAINING_HOSTS.size(), proxy.pickableWeights().size());
        }
    }

    private static List<HostList.Entry> drainingEntries() {
        return IntStream.range(0, DRAINING_HOSTS.size())
                .mapToObj(number -> host(number, State.TERMINATING, STARTED_LONG_AGO))
                .collect(Collectors.toList());
    }

    private static void assertEjectedInGrace(double announcedMs, RecordingProxy proxy, String host) {
        double appliedMs = proxy.ejectionTimesMs().get(host).get(0) + ControlLoopFixture.TRANSIT_MS;
        assertTrue(
                appliedMs - announcedMs <= GRACE_MS + SOCKET_TOLERANCE_MS,
                host + " is ejected at proxy " + proxy.id() + " " + (appliedMs - announcedMs) + " ms after the change");
    }
}
