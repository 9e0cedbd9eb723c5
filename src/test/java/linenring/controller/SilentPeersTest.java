package linenring.controller;

import static linenring.controller.ControlLoopFixture.GRACE_MS;
import static linenring.controller.ControlLoopFixture.SOCKET_TOLERANCE_MS;
import static linenring.controller.ControlLoopFixture.STARTED_LONG_AGO;
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

/** Proxies, collectors or discovery fall silent after ten minutes of normal operation with continuous host replacement. */
class SilentPeersTest {
    private static final int HOSTS = 20;
    private static final int PROXIES = 12;
    private static final double NORMAL_OPERATION_MS = 600_000;
    /** Interval in which one host drains, is removed, and is replaced by a new host. */
    private static final double REPLACEMENT_INTERVAL_MS = 4000;

    private final ControlLoopFixture fixture =
            new ControlLoopFixture(warmHosts(1, HOSTS), PROXIES).joinAll(PROXIES, true);
    /** Time at which discovery announced the drain, by host. */
    private final Map<String, Double> drainAnnouncedMs = new TreeMap<>();

    private long version = 1;
    private int nextHost = HOSTS;
    private int oldestHost;

    /** Replaces hosts one by one for {@code durationMs}, while the given zones report successful requests. */
    private void replaceHosts(double durationMs, int... zones) {
        for (double endMs = fixture.nowMs() + durationMs; fixture.nowMs() < endMs; ) {
            int drainingHost = oldestHost++;
            int newHost = nextHost++;
            fixture.eventQueue()
                    .enqueueHostList(new HostList(
                            ++version,
                            false,
                            List.of(
                                    host(drainingHost, State.TERMINATING, STARTED_LONG_AGO),
                                    host(newHost, State.READY, fixture.nowMs()))));
            drainAnnouncedMs.put("s-" + drainingHost, fixture.nowMs());
            for (double elapsedMs = 0; elapsedMs < REPLACEMENT_INTERVAL_MS; elapsedMs += 1000) {
                for (int zone : zones) {
                    for (int number = oldestHost; number < nextHost; number++) {
                        fixture.reportLoad(zone, "s-" + number, 20, 0, 100);
                    }
                }
                fixture.advance(1000);
            }
            fixture.eventQueue()
                    .enqueueHostList(
                            new HostList(++version, false, List.of(host(drainingHost, State.GONE, STARTED_LONG_AGO))));
        }
    }

    private void assertEjectedInGrace(RecordingProxy proxy, double sinceMs) {
        drainAnnouncedMs.forEach((host, announcedMs) -> {
            if (announcedMs >= sinceMs) {
                double delayMs = proxy.ejectionTimesMs().get(host).get(0) + TRANSIT_MS - announcedMs;
                assertTrue(
                        delayMs <= GRACE_MS + SOCKET_TOLERANCE_MS,
                        host + " was ejected at proxy " + proxy.id() + " " + delayMs + " ms after its announcement");
            }
        });
    }

    @Test
    void silentProxyDelaysNoOtherProxyAndIsSentItsDrains() {
        replaceHosts(NORMAL_OPERATION_MS, 0, 1, 2);
        RecordingProxy silentProxy = fixture.proxies().get(0);
        silentProxy.setSilent(true);
        double sinceMs = fixture.nowMs();
        replaceHosts(120_000, 0, 1, 2);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEjectedInGrace(proxy, sinceMs); // the silent proxy may still read its updates
            assertEquals(null, proxy.closeReason());
        }
        RecordingProxy respondingProxy = fixture.proxies().get(1);
        assertEquals(HOSTS, respondingProxy.pickableWeights().size());
        assertTrue(
                respondingProxy.pickableWeights().containsKey("s-" + (nextHost - 1)),
                "the newest host must be in the table");
    }

    /** A proxy that holds a table reconnects while its old stream stays half open, so that the controller never sees its end. */
    @Test
    void silentProxyThatReconnectsIsSentTheCurrentTable() {
        replaceHosts(NORMAL_OPERATION_MS, 0, 1, 2);
        RecordingProxy silentProxy = fixture.proxies().get(0);
        silentProxy.setSilent(true);
        replaceHosts(60_000, 0, 1, 2);
        RecordingProxy returnedProxy = fixture.join(0, false);
        double sinceMs = fixture.nowMs();
        replaceHosts(30_000, 0, 1, 2);
        assertEquals("replaced by a newer stream of the same proxy", silentProxy.closeReason());
        assertEquals(fixture.proxies().get(1).pickableWeights(), returnedProxy.pickableWeights());
        assertEjectedInGrace(returnedProxy, sinceMs);
        int updatesBefore = silentProxy.updateCount();
        replaceHosts(10_000, 0, 1, 2);
        assertEquals(updatesBefore, silentProxy.updateCount(), "no update may be written to the old stream");
    }

    /**
     * The controller's network link is down, so that all proxies are silent. The updates written meanwhile stay within the channel's
     * limits and arrive later.
     */
    @Test
    void allProxiesCatchUpAfterAllWereSilent() {
        replaceHosts(NORMAL_OPERATION_MS, 0, 1, 2);
        fixture.proxies().forEach(proxy -> proxy.setSilent(true));
        double sinceMs = fixture.nowMs();
        replaceHosts(40_000, 0, 1, 2);
        fixture.proxies().forEach(proxy -> assertEjectedInGrace(proxy, sinceMs));
        fixture.proxies().forEach(proxy -> proxy.setSilent(false));
        replaceHosts(40_000, 0, 1, 2);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(HOSTS, proxy.pickableWeights().size());
            assertTrue(proxy.pickableWeights().containsKey("s-" + (nextHost - 2)));
        }
    }

    /** A missing load report is evidence neither for nor against a host. Load reports of other zones still count. */
    @Test
    void silentCollectorEjectsNoHostAndOtherZonesReportsStillCount() {
        replaceHosts(NORMAL_OPERATION_MS, 0, 1, 2);
        replaceHosts(60_000, 1, 2);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(HOSTS, proxy.pickableWeights().size());
        }
        String failingHost = "s-" + (nextHost - 5);
        for (int second = 0; second < 10; second++) {
            for (int number = oldestHost; number < nextHost; number++) {
                fixture.reportLoad(1, "s-" + number, 20, ("s-" + number).equals(failingHost) ? 20 : 0, 100);
            }
            fixture.advance(1000);
        }
        for (RecordingProxy proxy : fixture.proxies()) {
            assertTrue(
                    proxy.ejectionTimesMs().containsKey(failingHost), "reports of one zone must eject a failing host");
            List<String> otherHosts = new ArrayList<>(proxy.weights().keySet());
            otherHosts.remove(failingHost);
            assertEquals(HOSTS - 1, otherHosts.size());
            assertFalse(
                    otherHosts.stream().anyMatch(proxy.ejected()::contains), "only the failing host may be ejected");
        }
    }

    @Test
    void silenceOfAllCollectorsChangesNoTable() {
        replaceHosts(NORMAL_OPERATION_MS, 0, 1, 2);
        fixture.advance(30_000);
        List<Map<String, Double>> weightsBefore = new ArrayList<>();
        fixture.proxies().forEach(proxy -> weightsBefore.add(proxy.pickableWeights()));
        fixture.advance(300_000);
        List<Map<String, Double>> weightsAfter = new ArrayList<>();
        fixture.proxies().forEach(proxy -> weightsAfter.add(proxy.pickableWeights()));
        assertEquals(weightsBefore, weightsAfter);
    }

    /** Discovery is silent for minutes while hosts fail and are removed, and then catches up with one complete list. */
    @Test
    void completeListAfterASilenceOfDiscoveryIsAppliedInTime() {
        replaceHosts(NORMAL_OPERATION_MS, 0, 1, 2);
        fixture.advance(180_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(HOSTS, proxy.pickableWeights().size(), "silence of discovery must not eject a host");
        }
        List<HostList.Entry> completeList = new ArrayList<>();
        double announcedMs = fixture.nowMs();
        for (int number = oldestHost; number < nextHost; number++) {
            boolean isDraining = number < oldestHost + HOSTS / 2;
            completeList.add(host(number, isDraining ? State.TERMINATING : State.READY, STARTED_LONG_AGO));
            if (isDraining) {
                drainAnnouncedMs.put("s-" + number, announcedMs);
            }
        }
        for (int number = nextHost; number < nextHost + HOSTS / 2; number++) {
            completeList.add(host(number, State.READY, announcedMs - 60_000));
        }
        fixture.eventQueue().enqueueHostList(new HostList(version + 40, true, completeList));
        fixture.advance(20_000);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEjectedInGrace(proxy, announcedMs);
            assertEquals(HOSTS, proxy.pickableWeights().size());
        }
    }
}
