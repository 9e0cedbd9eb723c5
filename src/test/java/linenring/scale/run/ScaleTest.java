package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.scale.catalogue.CatalogueEvents;
import linenring.scale.catalogue.CatalogueHost;
import linenring.scale.fleet.ListLedger;
import linenring.scale.fleet.SimulatedFleet;
import linenring.scale.measurement.Workload;
import org.junit.jupiter.api.Test;

/**
 * Tests that tables converge in a small scale run: one real and two simulated controllers under churn, replacements and a
 * zone loss.
 */
class ScaleTest {
    private static final Await AWAIT = new Await(40);

    private static final Workload SMALL = new Workload(48, 48, 6, 4, 3, 3, 20, 60, 2);
    /** The small workload with two of its four services in scope. */
    private static final Workload SCOPED = new Workload(48, 24, 6, 4, 3, 3, 20, 60, 2);

    private static final long CHURN_MS = 4000;
    private static final long ZONE_OUTAGE_MS = 1500;
    private static final int FAILING_HOST_COUNT = 5;

    @Test
    void convergesAllControllersAndProxiesToTheCatalogue() throws Exception {
        assertFleetsConverge(SMALL);
    }

    @Test
    void convergesScopedControllersToTheHostsOfTheirServices() throws Exception {
        assertFleetsConverge(SCOPED);
    }

    private static void assertFleetsConverge(Workload workload) throws Exception {
        try (Testbed testbed = new Testbed(workload, 5, true)) {
            testbed.open(1, 2);
            RealControllerWithFleet real = testbed.realControllers().get(0);
            assertNull(testbed.awaitSettled(real, AWAIT.deadlineNanos()));
            assertNull(testbed.awaitSimulatedSettled(AWAIT.deadlineNanos()));

            testbed.startSteadyRates();
            TimeUnit.MILLISECONDS.sleep(CHURN_MS);
            testbed.scheduleEvents(CatalogueEvents::endSteadyRates);
            List<CatalogueHost> failingHosts = testbed.catalogue().hosts(host -> host.zone() == 2 && host.isReady());
            testbed.scheduleEvents(
                    events -> { // some hosts are replaced without a drain, and one zone is lost temporarily
                        long now = System.currentTimeMillis();
                        events.replaceAll(now, failingHosts.subList(0, FAILING_HOST_COUNT));
                        events.loseZone(now, 1, ZONE_OUTAGE_MS);
                    });
            assertTrue(AWAIT.until(() -> !testbed.driver().hasPendingEvents()));

            assertTablesConverge(testbed, real.fleet().fleet());
            assertTrue(real.process().isAlive(), real.process().exitDescription());
            for (SimulatedControllerWithFleet member : testbed.simulatedControllers()) {
                assertTablesConverge(testbed, member.fleet());
                assertNull(member.controller().failure());
                assertEachVersionReceivedOnceInOrder(
                        testbed, member.controller().ledger());
            }
            long reconnects = testbed.simulatedCatalogue().watchesOpened()
                    - testbed.simulatedControllers().size();
            long catchUps = testbed.simulatedControllers().stream()
                    .mapToLong(member -> member.controller().ledger().mergedDeltas())
                    .sum();
            assertTrue(
                    catchUps <= reconnects,
                    catchUps + " deltas of several versions, but only " + reconnects + " reconnected watches");
        }
    }

    /**
     * Asserts that the tables of all proxies converge to exactly the ready hosts, and that no proxy lost all its hosts
     * meanwhile.
     */
    private static void assertTablesConverge(Testbed testbed, SimulatedFleet fleet) throws InterruptedException {
        AWAIT.until(() -> testbed.compareTables(fleet, true).isComplete());
        assertEquals(new TableConsistency(0, 0, 0, 0), testbed.compareTables(fleet, true));
        assertEquals(List.of(), fleet.faults());
        assertEquals(0, fleet.timesWithoutHost());
        assertTrue(fleet.updatesApplied() > 0);
    }

    private static void assertEachVersionReceivedOnceInOrder(Testbed testbed, ListLedger ledger)
            throws InterruptedException {
        long version = testbed.catalogue().version();
        AWAIT.until(() -> ledger.version() == version);
        assertEquals(version, ledger.version());
        assertEquals(List.of(), ledger.faults());
        assertEquals(1, ledger.completeLists());
        assertEquals(
                version - 1,
                ledger.deltas() + ledger.mergedVersions()); // each watch started with the complete list of version 1
        assertTrue(version > 40, "expected more than 40 catalogue changes during the run");
        assertEquals(testbed.readyInScope(), ledger.readyIds());
    }

    @Test
    void reportsAKilledController() throws Exception {
        try (Testbed testbed = new Testbed(SMALL, 5)) {
            testbed.open(1, 1);
            RealControllerWithFleet real = testbed.realControllers().get(0);
            assertNull(testbed.awaitSettled(real, AWAIT.deadlineNanos()));
            real.process().kill();
            String failure = testbed.awaitSettled(real, AWAIT.deadlineNanos());
            assertTrue(failure.startsWith("ended with exit code 137; last log line: "), failure);
            assertFalse(real.process().isAlive());
        }
    }
}
