package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import linenring.scale.catalogue.CatalogueEvents;
import linenring.scale.catalogue.CatalogueHost;
import linenring.scale.fleet.ListLedger;
import linenring.scale.fleet.SimulatedFleet;
import linenring.scale.measurement.Workload;
import org.junit.jupiter.api.Test;

/** A small scale run, on correctness alone: one real steward and two hollow ones under churn, replacements and a lost zone. */
class ScaleTest {
    private static final Workload SMALL = new Workload(48, 48, 6, 4, 3, 3, 20, 60, 2);
    /** The same of which two services in four are in scope. */
    private static final Workload SCOPED = new Workload(48, 24, 6, 4, 3, 3, 20, 60, 2);

    private static final long CHURN_MS = 4000, ZONE_AWAY_MS = 1500;
    private static final int FAILING = 5;
    private static final long GIVE_UP_S = 40; // not an assert on time: where it hangs, it ends

    private static boolean await(BooleanSupplier what) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GIVE_UP_S);
        while (!what.getAsBoolean() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return what.getAsBoolean();
    }

    private static long deadline() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(GIVE_UP_S);
    }

    @Test
    void allStewardsAndTheirProxiesComeToHoldWhatTheCatalogueHolds() throws Exception {
        playToItsEnd(SMALL);
    }

    @Test
    void stewardsUnderAScopeComeToHoldTheHostsOfTheirServicesAndNoOthers() throws Exception {
        playToItsEnd(SCOPED);
    }

    private static void playToItsEnd(Workload workload) throws Exception {
        try (Testbed testbed = new Testbed(workload, 5, true)) {
            testbed.open(1, 2);
            RealMember real = testbed.real().get(0);
            assertNull(testbed.awaitSettled(real, deadline()));
            assertNull(testbed.awaitHollowSettled(deadline()));

            testbed.beginSteadyRates();
            TimeUnit.MILLISECONDS.sleep(CHURN_MS);
            testbed.script(CatalogueEvents::endSteadyRates);
            List<CatalogueHost> failing = testbed.catalogue().hosts(h -> h.zone() == 2 && h.isReady());
            testbed.script(
                    events -> { // some are gone for good without a drain, and a zone for a while
                        long now = System.currentTimeMillis();
                        events.replaceAll(now, failing.subList(0, FAILING));
                        events.loseZone(now, 1, ZONE_AWAY_MS);
                    });
            assertTrue(await(() -> !testbed.driver().isBusy()));

            assertConverges(testbed, real.fleet().fleet());
            assertTrue(real.process().isAlive(), real.process().ending());
            for (InProcessMember member : testbed.hollow()) {
                assertConverges(testbed, member.fleet());
                assertNull(member.steward().failure());
                assertEachChangeOnceAndInOrder(testbed, member.steward().ledger());
            }
            long dialledAgain =
                    testbed.hollowCatalogue().watchesOpened() - testbed.hollow().size();
            long jumps = testbed.hollow().stream()
                    .mapToLong(m -> m.steward().ledger().catchUps())
                    .sum();
            assertTrue(jumps <= dialledAgain, jumps + " lines of several changes on " + dialledAgain + " new watches");
        }
    }

    /** The tables of all proxies hold the hosts that are ready, all of them and no other, and no proxy was ever without one. */
    private static void assertConverges(Testbed testbed, SimulatedFleet fleet) throws InterruptedException {
        await(() -> testbed.agreement(fleet, true).isComplete());
        assertEquals(new Agreement(0, 0, 0, 0), testbed.agreement(fleet, true));
        assertEquals(List.of(), fleet.faults());
        assertEquals(0, fleet.timesWithoutHost());
        assertTrue(fleet.updatesApplied() > 0);
    }

    private static void assertEachChangeOnceAndInOrder(Testbed testbed, ListLedger ledger) throws InterruptedException {
        long version = testbed.catalogue().version();
        await(() -> ledger.version() == version);
        assertEquals(version, ledger.version());
        assertEquals(List.of(), ledger.faults());
        assertEquals(1, ledger.completeLists());
        assertEquals(version - 1, ledger.deltas() + ledger.mergedVersions()); // all began with the list of version 1
        assertTrue(version > 40, "the catalogue has changed, not stood still");
        assertEquals(testbed.readyInScope(), ledger.readyIds());
    }

    @Test
    void aDeadStewardIsTold() throws Exception {
        try (Testbed testbed = new Testbed(SMALL, 5)) {
            testbed.open(1, 1);
            RealMember real = testbed.real().get(0);
            assertNull(testbed.awaitSettled(real, deadline()));
            real.process().kill();
            String missing = testbed.awaitSettled(real, deadline());
            assertTrue(missing.startsWith("ended with exit code 137; last log line: "), missing);
            assertFalse(real.process().isAlive());
        }
    }
}
