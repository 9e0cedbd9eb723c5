package linenring.controller;

import static linenring.controller.ControlLoopFixture.GRACE_MS;
import static linenring.controller.ControlLoopFixture.LONG_AGO;
import static linenring.controller.ControlLoopFixture.SOCKET_SLACK_MS;
import static linenring.controller.ControlLoopFixture.TRANSIT_MS;
import static linenring.controller.ControlLoopFixture.host;
import static linenring.controller.ControlLoopFixture.warmHosts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import org.junit.jupiter.api.Test;

/** Parties that fall silent after ten minutes of ordinary service, in which hosts were replaced all the time. */
class LateSilenceTest {
    private static final int HOSTS = 20;
    private static final int PROXIES = 12;
    private static final double SERVICE_MS = 600_000;
    private static final double REPLACEMENT_MS = 4000; // as the rest of the fleet: a drain, its end and a new host

    private final ControlLoopFixture fixture =
            new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES).joinAll(PROXIES, true);
    private final Map<String, Double> drained = new TreeMap<>(); // when discovery listed each host as draining
    private long version = 1;
    private int next = HOSTS;
    private int oldest;

    /** Hosts are replaced one by one for {@code durationMs}; reports of good service come from these zones. */
    private void serve(double durationMs, int... zones) {
        for (double end = fixture.now() + durationMs; fixture.now() < end; ) {
            int leaves = oldest++;
            int comes = next++;
            fixture.eventQueue()
                    .enqueueHostList(new HostList(
                            ++version,
                            false,
                            List.of(
                                    host(leaves, State.TERMINATING, LONG_AGO),
                                    host(comes, State.READY, fixture.now()))));
            drained.put("s-" + leaves, fixture.now());
            for (double step = 0; step < REPLACEMENT_MS; step += 1000) {
                for (int zone : zones) {
                    for (int h = oldest; h < next; h++) {
                        fixture.report(zone, "s-" + h, 20, 0, 100);
                    }
                }
                fixture.pass(1000);
            }
            fixture.eventQueue()
                    .enqueueHostList(new HostList(++version, false, List.of(host(leaves, State.GONE, LONG_AGO))));
        }
    }

    private void assertDrainsInGrace(RecordingProxy proxy, double since) {
        drained.forEach((host, announcedMs) -> {
            if (announcedMs >= since) {
                double late = proxy.ejectedAt().get(host).get(0) + TRANSIT_MS - announcedMs;
                assertTrue(late <= GRACE_MS + SOCKET_SLACK_MS, host + " at proxy " + proxy.id() + " after " + late);
            }
        });
    }

    @Test
    void silentProxyDelaysNoOtherAndGetsItsDrains() {
        serve(SERVICE_MS, 0, 1, 2);
        RecordingProxy silent = fixture.proxies().get(0);
        silent.setSilent(true);
        double since = fixture.now();
        serve(120_000, 0, 1, 2);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertDrainsInGrace(proxy, since); // the silent one may read them still
            assertEquals(null, proxy.closeReason());
        }
        RecordingProxy other = fixture.proxies().get(1);
        assertEquals(HOSTS, other.pickable().size());
        assertTrue(other.pickable().containsKey("s-" + (next - 1)), "new hosts come in");
    }

    /** The proxy dials again, with a table, while its old stream stays half open and its end is never seen. */
    @Test
    void proxyThatReturnsFromSilenceOnANewStreamGetsThePresentTable() {
        serve(SERVICE_MS, 0, 1, 2);
        RecordingProxy silent = fixture.proxies().get(0);
        silent.setSilent(true);
        serve(60_000, 0, 1, 2);
        RecordingProxy back = fixture.join(0, false);
        double since = fixture.now();
        serve(30_000, 0, 1, 2);
        assertEquals("has a newer stream", silent.closeReason());
        assertEquals(fixture.proxies().get(1).pickable(), back.pickable());
        assertDrainsInGrace(back, since);
        int written = silent.updates();
        serve(10_000, 0, 1, 2);
        assertEquals(written, silent.updates(), "nothing more is written to the old stream");
    }

    /** The controller's own link is cut, so that all proxies are silent: what was written stays in the limits, and arrives after. */
    @Test
    void allProxiesAreUpToDateAfterAllWereSilent() {
        serve(SERVICE_MS, 0, 1, 2);
        fixture.proxies().forEach(proxy -> proxy.setSilent(true));
        double since = fixture.now();
        serve(40_000, 0, 1, 2);
        fixture.proxies().forEach(proxy -> assertDrainsInGrace(proxy, since));
        fixture.proxies().forEach(proxy -> proxy.setSilent(false));
        serve(40_000, 0, 1, 2);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(HOSTS, proxy.pickable().size());
            assertTrue(proxy.pickable().containsKey("s-" + (next - 2)));
        }
    }

    /** No report says nothing, neither good nor bad; those of the other zones count as before. */
    @Test
    void silentCollectorEjectsNoHostAndReportsOfOtherZonesCount() {
        serve(SERVICE_MS, 0, 1, 2);
        serve(60_000, 1, 2);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(HOSTS, proxy.pickable().size());
        }
        String failing = "s-" + (next - 5);
        for (int second = 0; second < 10; second++) {
            for (int h = oldest; h < next; h++) {
                fixture.report(1, "s-" + h, 20, ("s-" + h).equals(failing) ? 20 : 0, 100);
            }
            fixture.pass(1000);
        }
        for (RecordingProxy proxy : fixture.proxies()) {
            assertTrue(proxy.ejectedAt().containsKey(failing), "a failing host is ejected by one zone's reports");
            List<String> others = new ArrayList<>(proxy.weights().keySet());
            others.remove(failing);
            assertEquals(HOSTS - 1, others.size());
            assertFalse(others.stream().anyMatch(proxy.ejected()::contains), "and nobody else is");
        }
    }

    @Test
    void silenceOfAllCollectorsChangesNothing() {
        serve(SERVICE_MS, 0, 1, 2);
        fixture.pass(30_000);
        List<Map<String, Double>> before = new ArrayList<>();
        fixture.proxies().forEach(proxy -> before.add(proxy.pickable()));
        fixture.pass(300_000);
        List<Map<String, Double>> after = new ArrayList<>();
        fixture.proxies().forEach(proxy -> after.add(proxy.pickable()));
        assertEquals(before, after);
    }

    /** Discovery says nothing for minutes while hosts fail and go; then it catches up in one complete list. */
    @Test
    void listAfterDiscoverysSilenceIsAppliedInTime() {
        serve(SERVICE_MS, 0, 1, 2);
        fixture.pass(180_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(HOSTS, proxy.pickable().size(), "silence ejects no host");
        }
        List<HostList.Entry> caughtUp = new ArrayList<>();
        double announcedMs = fixture.now();
        for (int h = oldest; h < next; h++) {
            boolean drains = h < oldest + HOSTS / 2;
            caughtUp.add(host(h, drains ? State.TERMINATING : State.READY, LONG_AGO));
            if (drains) {
                drained.put("s-" + h, announcedMs);
            }
        }
        for (int h = next; h < next + HOSTS / 2; h++) {
            caughtUp.add(host(h, State.READY, announcedMs - 60_000));
        }
        fixture.eventQueue().enqueueHostList(new HostList(version + 40, true, caughtUp));
        fixture.pass(20_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertDrainsInGrace(proxy, announcedMs);
            assertEquals(HOSTS, proxy.pickable().size());
        }
    }
}
