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

/** A small scale run, on correctness alone: one real and two simulated controllers under churn, replacements and a lost zone. */
class ScaleTest {
    private static final Await AWAIT = new Await(40);

    private static final Workload SMALL = new Workload(48, 48, 6, 4, 3, 3, 20, 60, 2);
    /** The same with two services of four in scope. */
    private static final Workload SCOPED = new Workload(48, 24, 6, 4, 3, 3, 20, 60, 2);

    private static final long CHURN_MS = 4000;
    private static final long ZONE_LOST_MS = 1500;
    private static final int FAILING = 5;

    @Test
    void convergesAllControllersAndProxiesToTheCatalogue() throws Exception {
        playUntilConverged(SMALL);
    }

    @Test
    void convergesControllersUnderAScopeToTheirServicesOnly() throws Exception {
        playUntilConverged(SCOPED);
    }

    private static void playUntilConverged(Workload workload) throws Exception {
        try (Testbed testbed = new Testbed(workload, 5, true)) {
            testbed.open(1, 2);
            RealMember real = testbed.real().get(0);
            assertNull(testbed.awaitSettled(real, AWAIT.deadlineNanos()));
            assertNull(testbed.awaitSimulatedSettled(AWAIT.deadlineNanos()));

            testbed.startSteadyRates();
            TimeUnit.MILLISECONDS.sleep(CHURN_MS);
            testbed.script(CatalogueEvents::endSteadyRates);
            List<CatalogueHost> failing = testbed.catalogue().hosts(host -> host.zone() == 2 && host.isReady());
            testbed.script(
                    events -> { // some are gone for good without a drain, and a zone for a while
                        long now = System.currentTimeMillis();
                        events.replaceAll(now, failing.subList(0, FAILING));
                        events.loseZone(now, 1, ZONE_LOST_MS);
                    });
            assertTrue(AWAIT.until(() -> !testbed.driver().isBusy()));

            assertConverges(testbed, real.fleet().fleet());
            assertTrue(real.process().isAlive(), real.process().ending());
            for (InProcessMember member : testbed.simulated()) {
                assertConverges(testbed, member.fleet());
                assertNull(member.controller().failure());
                assertEachVersionCameOnceAndInOrder(testbed, member.controller().ledger());
            }
            long reconnects = testbed.simulatedCatalogue().watchesOpened()
                    - testbed.simulated().size();
            long catchUps = testbed.simulated().stream()
                    .mapToLong(member -> member.controller().ledger().mergedDeltas())
                    .sum();
            assertTrue(
                    catchUps <= reconnects, catchUps + " deltas of several versions on " + reconnects + " new watches");
        }
    }

    /** The tables of all proxies hold the hosts that are ready, all of them and no other, and no proxy was ever without a host. */
    private static void assertConverges(Testbed testbed, SimulatedFleet fleet) throws InterruptedException {
        AWAIT.until(() -> testbed.agreement(fleet, true).isComplete());
        assertEquals(new Agreement(0, 0, 0, 0), testbed.agreement(fleet, true));
        assertEquals(List.of(), fleet.faults());
        assertEquals(0, fleet.timesWithoutHost());
        assertTrue(fleet.updatesApplied() > 0);
    }

    private static void assertEachVersionCameOnceAndInOrder(Testbed testbed, ListLedger ledger)
            throws InterruptedException {
        long version = testbed.catalogue().version();
        AWAIT.until(() -> ledger.version() == version);
        assertEquals(version, ledger.version());
        assertEquals(List.of(), ledger.faults());
        assertEquals(1, ledger.completeLists());
        assertEquals(version - 1, ledger.deltas() + ledger.mergedVersions()); // all began with the list of version 1
        assertTrue(version > 40, "the catalogue has changed, not stood still");
        assertEquals(testbed.readyInScope(), ledger.readyIds());
    }

    @Test
    void reportsADeadController() throws Exception {
        try (Testbed testbed = new Testbed(SMALL, 5)) {
            testbed.open(1, 1);
            RealMember real = testbed.real().get(0);
            assertNull(testbed.awaitSettled(real, AWAIT.deadlineNanos()));
            real.process().kill();
            String missing = testbed.awaitSettled(real, AWAIT.deadlineNanos());
            assertTrue(missing.startsWith("ended with exit code 137; last log line: "), missing);
            assertFalse(real.process().isAlive());
        }
    }
}
