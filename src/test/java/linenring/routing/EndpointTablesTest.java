package linenring.routing;

import static linenring.routing.RoutingFixture.admission;
import static linenring.routing.RoutingFixture.ejections;
import static linenring.routing.RoutingFixture.entry;
import static linenring.routing.RoutingFixture.part;
import static linenring.routing.RoutingFixture.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import linenring.routing.InvalidUpdateException.Problem;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EndpointTablesTest {
    private static Set<Integer> pickedHosts(RoutingFixture fixture, double nowMs) {
        Set<Integer> pickedHosts = new TreeSet<>();
        for (int i = 0; i < 2000; i++) {
            pickedHosts.add(fixture.tables().pick(0, nowMs, fixture.random().nextDouble()));
        }
        return pickedHosts;
    }

    private static Set<Integer> hosts(Integer... hosts) {
        return new TreeSet<>(List.of(hosts));
    }

    @Test
    void appliesChangesToExistingTableAndRemovesEntryOfWeightZero() {
        RoutingFixture fixture = new RoutingFixture(4).withCompleteTables(3, null);
        fixture.apply(update(part(List.of("quote"), false, null, entry(0, 0), entry(3, 2))));
        assertEquals(Map.of(1, 1.0, 2, 1.0, 3, 2.0), fixture.tables().weights(0));
        assertEquals(Map.of(0, 1.0, 1, 1.0, 2, 1.0), fixture.tables().weights(1));
        assertEquals(hosts(1, 2, 3), pickedHosts(fixture, 0));
    }

    @Test
    void resetsAdmissionWithCompleteTableAndKeepsItWithChanges() {
        RoutingFixture fixture = new RoutingFixture(2).withCompleteTables(2, admission(0, RetryPolicy.ONE));
        fixture.apply(update(part(List.of("quote"), false, null, entry(0, 0.5))));
        assertTrue(fixture.tables().admissionRetryAfterMs(0, 0, 0.5) > 0);
        assertEquals(RetryPolicy.ONE, fixture.tables().retryPolicy(0));
        fixture.withCompleteTables(2, null);
        assertEquals(0, fixture.tables().admissionRetryAfterMs(0, 0, 0.999));
        assertEquals(RetryPolicy.ONE_IF_NOT_EXECUTED, fixture.tables().retryPolicy(0));
    }

    private static void assertUnusable(RoutingFixture fixture, Problem problem, ConfigurationUpdate update) {
        InvalidUpdateException thrown = assertThrows(
                InvalidUpdateException.class, () -> fixture.tables().apply(update));
        assertEquals(problem, thrown.problem(), thrown.getMessage());
        assertEquals(Map.of(0, 1.0), fixture.tables().weights(0), thrown.getMessage());
    }

    @Test
    void changesNothingWhenOnePartOfUpdateIsUnusable() {
        RoutingFixture fixture = new RoutingFixture(2).withCompleteTables(1, null);
        ConfigurationUpdate.Part validPart = part(List.of(), true, null, entry(1, 1));
        Map<ConfigurationUpdate.Part, Problem> invalidParts = Map.of(
                part(List.of("lookup"), false, null, entry(1, 1)), Problem.UNKNOWN_OPERATION,
                part(List.of(), false, null, entry(9, 1)), Problem.UNLISTED_HOST,
                part(List.of(), false, null, entry(1, -1)), Problem.INVALID_WEIGHT,
                part(List.of(), false, null, entry(1, Double.NaN)), Problem.INVALID_WEIGHT,
                part(List.of(), false, new ConfigurationUpdate.AdmissionPolicy(-1, 0)), Problem.INVALID_ADMISSION,
                part(List.of(), false, new ConfigurationUpdate.AdmissionPolicy(1, 4)), Problem.INVALID_ADMISSION);
        invalidParts.forEach((part, problem) -> assertUnusable(fixture, problem, update(validPart, part)));
        assertUnusable(fixture, Problem.UNLISTED_HOST, ejections(List.of("s-0", "s-9"), List.of(), 4));
        assertEquals(0, fixture.tables().pick(0, 0, 0.5));
    }

    @Test
    void neverPicksEjectedHostUntilItIsRestoredEvenAfterNewTables() {
        RoutingFixture fixture = new RoutingFixture(3).withCompleteTables(3, null);
        fixture.apply(ejections(List.of("s-1"), List.of(), ConfigurationUpdate.WITHOUT_NONCE));
        fixture.withCompleteTables(3, null); // a new stream starts with a complete table
        assertEquals(hosts(0, 2), pickedHosts(fixture, 0));
        assertFalse(fixture.tables().isEligibleForAnyOperation(1));
        fixture.apply(ejections(List.of(), List.of("s-1"), ConfigurationUpdate.WITHOUT_NONCE));
        assertEquals(hosts(0, 1, 2), pickedHosts(fixture, 0));
    }

    @Test
    void returnsNoncesInOrderOfParts() {
        RoutingFixture fixture = new RoutingFixture(1);
        ConfigurationUpdate.Part first =
                new ConfigurationUpdate.Part(List.of(), true, List.of(entry(0, 1)), null, List.of(), List.of(), 7);
        ConfigurationUpdate.Part second =
                new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of(), List.of(), 3);
        assertEquals(List.of(7, 3), fixture.apply(update(first, second)));
    }

    @Test
    void picksNoneFromClearedTableAndReportsEmptyTables() {
        RoutingFixture fixture = new RoutingFixture(2);
        assertTrue(fixture.tables().isEmpty());
        fixture.withCompleteTables(2, null);
        assertFalse(fixture.tables().isEmpty());
        fixture.withCompleteTables(0, null);
        assertEquals(EndpointTables.NONE, fixture.tables().pick(0, 0, 0.5));
    }

    @Test
    void ejectsHostAfterConsecutiveFailuresAndSuccessResetsTheCount() {
        RoutingFixture fixture = new RoutingFixture(2).withCompleteTables(2, null);
        fixture.tables().recordOutcome(0, false, 0);
        fixture.tables().recordOutcome(0, false, 1);
        fixture.tables().recordOutcome(0, true, 2);
        fixture.tables().recordOutcome(0, false, 3);
        fixture.tables().recordOutcome(0, false, 4);
        assertEquals(2, pickedHosts(fixture, 5).size());
        assertTrue(fixture.tables().recordOutcome(0, false, 10));
        assertEquals(hosts(1), pickedHosts(fixture, 11));
        assertEquals(hosts(1), pickedHosts(fixture, 5009));
        assertEquals(hosts(0, 1), pickedHosts(fixture, 5010));
    }

    @Test
    void picksAmongAllHostsWhenAllAreOutliers() {
        RoutingFixture fixture = new RoutingFixture(3).withCompleteTables(3, null);
        for (int h = 0; h < 3; h++) {
            for (int i = 0; i < 3; i++) {
                fixture.tables().recordOutcome(h, false, 0);
            }
        }
        assertEquals(3, pickedHosts(fixture, 1).size());
    }

    @Test
    void admitsOrderedRateAndReturnsRetryAfter() {
        RoutingFixture fixture = new RoutingFixture(1, AdmissionUnit.PER_SECOND)
                .withCompleteTables(1, admission(20, RetryPolicy.ONE_IF_NOT_EXECUTED));
        int admitted = 0;
        for (double nowMs = 0; nowMs < 10_000; nowMs += 10) { // 100 requests per second
            admitted += fixture.tables().admissionRetryAfterMs(0, nowMs, 0.5) == 0 ? 1 : 0;
        }
        assertEquals(200, admitted, 6);
        double retryAfterMs = 0;
        for (int i = 0; i < 20; i++) {
            retryAfterMs = fixture.tables().admissionRetryAfterMs(0, 10_000, 0.5);
        }
        assertEquals(50, retryAfterMs, 1);
    }

    @Test
    void keepsHostIndicesAcrossListsAndMarksAbsentHostsGone() {
        HostRegistry hosts = new RoutingFixture(3).hosts();
        hosts.apply(new HostList(2, true, List.of(new HostList.Entry("s-2", 0, 0, HostList.State.READY, 1, 0))));
        assertEquals(2, hosts.index("s-2"));
        assertEquals(HostList.State.GONE, hosts.host(0).state());
        assertEquals(
                "127.0.0.1:1002",
                hosts.host(2).address()); // the second list has no address, so the earlier one is kept
    }

    /** Chi-square test over 60,000 picks; the bound of 43.8 is the 0.999 quantile for 19 degrees of freedom. */
    @Test
    void picksFollowWeights() {
        RoutingFixture fixture = new RoutingFixture(20);
        ConfigurationUpdate.TableEntry[] entries = new ConfigurationUpdate.TableEntry[20];
        double weightSum = 0;
        for (int h = 0; h < 20; h++) {
            entries[h] = entry(h, 1 + h % 5);
            weightSum += 1 + h % 5;
        }
        fixture.apply(update(part(List.of(), true, null, entries)));
        int[] picks = new int[20];
        for (int i = 0; i < 60_000; i++) {
            picks[fixture.tables().pick(0, 0, fixture.random().nextDouble())]++;
        }
        double chiSquare = 0;
        for (int h = 0; h < 20; h++) {
            double expected = 60_000 * (1 + h % 5) / weightSum;
            chiSquare += Math.pow(picks[h] - expected, 2) / expected;
        }
        assertTrue(chiSquare < 43.8, "chi-square " + chiSquare);
    }

    @Property(tries = 200, seed = "1")
    void picksEligibleHostWheneverThereIsOneAfterAnyUpdates(@ForAll @IntRange(max = 1 << 20) int seed) {
        RoutingFixture fixture = new RoutingFixture(6);
        fixture.random().setSeed(seed);
        for (int step = 0; step < 30; step++) {
            int host = fixture.random().nextInt(6);
            fixture.apply(randomUpdate(fixture, host));
            fixture.tables().recordOutcome(host, fixture.random().nextBoolean(), step);
            for (int operation = 0; operation < 3; operation++) {
                assertPicksEligible(fixture, operation, step);
            }
        }
    }

    private static ConfigurationUpdate randomUpdate(RoutingFixture fixture, int host) {
        ConfigurationUpdate.TableEntry entry = entry(host, fixture.random().nextInt(3));
        return switch (fixture.random().nextInt(4)) {
            case 0 -> update(part(List.of(), fixture.random().nextInt(5) == 0, null, entry));
            case 1 -> ejections(List.of("s-" + host), List.of(), 1);
            case 2 -> ejections(List.of(), List.of("s-" + host), 1);
            default -> update(part(List.of("book"), false, null, entry));
        };
    }

    private static void assertPicksEligible(RoutingFixture fixture, int operation, double nowMs) {
        EndpointTables tables = fixture.tables();
        int pickedHost = tables.pick(operation, nowMs, fixture.random().nextDouble());
        boolean anyEligible =
                tables.weights(operation).keySet().stream().anyMatch(host -> tables.isEligible(operation, host));
        assertEquals(anyEligible, pickedHost != EndpointTables.NONE);
        assertTrue(pickedHost == EndpointTables.NONE || tables.isEligible(operation, pickedHost));
    }

    @Test
    void picksHostForSmallestAndLargestDraw() {
        RoutingFixture fixture = new RoutingFixture(3).withCompleteTables(3, null);
        assertNotEquals(EndpointTables.NONE, fixture.tables().pick(0, 0, 0));
        assertNotEquals(EndpointTables.NONE, fixture.tables().pick(0, 0, Math.nextDown(1.0)));
    }
}
