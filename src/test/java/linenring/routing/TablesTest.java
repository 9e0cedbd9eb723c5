package linenring.routing;

import static linenring.routing.Fixture.ejected;
import static linenring.routing.Fixture.line;
import static linenring.routing.Fixture.part;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TablesTest {
    private static TreeSet<Integer> picked(Fixture f, int operation, double now) {
        TreeSet<Integer> seen = new TreeSet<>();
        for (int i = 0; i < 2000; i++) {
            seen.add(f.tables.pick(operation, now, f.chance.nextDouble()));
        }
        return seen;
    }

    @Test
    void changesApplyToTheTableThatIsThereAndWeightZeroTakesALineOut() {
        Fixture f = new Fixture(4).whole(3, null);
        f.tables.apply(new ConfigurationUpdate(List.of(part(List.of("quote"), false, null, line(0, 0), line(3, 2)))));
        assertEquals(Map.of(1, 1.0, 2, 1.0, 3, 2.0), f.tables.lines(0));
        assertEquals(Map.of(0, 1.0, 1, 1.0, 2, 1.0), f.tables.lines(1));
        assertEquals(new TreeSet<>(List.of(1, 2, 3)), picked(f, 0, 0));
    }

    @Test
    void aWholeTableForgetsLevelsAndChangesKeepThem() {
        Fixture f = new Fixture(2).whole(2, new ConfigurationUpdate.Level(0, 2));
        f.tables.apply(new ConfigurationUpdate(List.of(part(List.of("quote"), false, null, line(0, 0.5)))));
        assertTrue(f.tables.wait(0, 0, 0.5) > 0);
        assertEquals(RetryPolicy.ONE, f.tables.tries(0));
        f.whole(2, null);
        assertEquals(0, f.tables.wait(0, 0, 0.999));
        assertEquals(RetryPolicy.ONE_IF_NOT_EXECUTED, f.tables.tries(0));
    }

    @Test
    void anOrderOfWhichOnePartCantBeUsedChangesNothing() {
        Fixture f = new Fixture(2).whole(1, null);
        for (ConfigurationUpdate.Part bad : List.of(
                part(List.of("lookup"), false, null, line(1, 1)),
                part(List.of(), false, null, line(9, 1)),
                part(List.of(), false, null, line(1, -1)),
                part(List.of(), false, null, line(1, Double.NaN)),
                part(List.of(), false, new ConfigurationUpdate.Level(-1, 0)),
                part(List.of(), false, new ConfigurationUpdate.Level(1, 4)))) {
            Tables.Applied done =
                    f.tables.apply(new ConfigurationUpdate(List.of(part(List.of(), true, null, line(1, 1)), bad)));
            assertFalse(done.isUsable());
            assertEquals(Map.of(0, 1.0), f.tables.lines(0), done.unusable());
        }
        assertFalse(f.tables.apply(ejected(List.of("s-0", "s-9"), List.of(), 4)).isUsable());
        assertEquals(0, f.tables.pick(0, 0, 0.5));
    }

    @Test
    void aHostThatIsShutOutIsNotPickedWhateverTablesComeUntilItIsLetBack() {
        Fixture f = new Fixture(3).whole(3, null);
        f.tables.apply(ejected(List.of("s-1"), List.of(), ConfigurationUpdate.NO_MARK));
        f.whole(3, null); // as a new stream brings it
        assertEquals(new TreeSet<>(List.of(0, 2)), picked(f, 0, 0));
        assertFalse(f.tables.isUsed(1));
        f.tables.apply(ejected(List.of(), List.of("s-1"), ConfigurationUpdate.NO_MARK));
        assertEquals(new TreeSet<>(List.of(0, 1, 2)), picked(f, 0, 0));
    }

    @Test
    void marksAreAnsweredInTheOrderOfTheirParts() {
        Fixture f = new Fixture(1);
        ConfigurationUpdate.Part first =
                new ConfigurationUpdate.Part(List.of(), true, List.of(line(0, 1)), null, List.of(), List.of(), 7);
        ConfigurationUpdate.Part second =
                new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of(), List.of(), 3);
        assertEquals(
                List.of(7, 3),
                f.tables.apply(new ConfigurationUpdate(List.of(first, second))).marks());
    }

    @Test
    void anEmptiedTablePicksNobodyAndAFreshOneSaysSo() {
        Fixture f = new Fixture(2);
        assertTrue(f.tables.isFresh());
        f.whole(2, null);
        assertFalse(f.tables.isFresh());
        f.whole(0, null);
        assertEquals(Tables.NONE, f.tables.pick(0, 0, 0.5));
    }

    @Test
    void aHostThatErrorsInARowIsAvoidedForASpanAndSuccessBreaksTheRow() {
        Fixture f = new Fixture(2).whole(2, null);
        f.tables.ended(0, false, 0);
        f.tables.ended(0, false, 1);
        f.tables.ended(0, true, 2);
        f.tables.ended(0, false, 3);
        f.tables.ended(0, false, 4);
        assertEquals(2, picked(f, 0, 5).size());
        assertTrue(f.tables.ended(0, false, 10));
        assertEquals(new TreeSet<>(List.of(1)), picked(f, 0, 11));
        assertEquals(new TreeSet<>(List.of(1)), picked(f, 0, 5009));
        assertEquals(new TreeSet<>(List.of(0, 1)), picked(f, 0, 5010));
    }

    @Test
    void whereAllAreAvoidedAllArePicked() {
        Fixture f = new Fixture(3).whole(3, null);
        for (int h = 0; h < 3; h++) {
            for (int i = 0; i < 3; i++) {
                f.tables.ended(h, false, 0);
            }
        }
        assertEquals(3, picked(f, 0, 1).size());
    }

    @Test
    void aRateLetsThroughWhatItSaysAndTellsWhenToComeBack() {
        Fixture f = new Fixture(1, Measure.PER_SECOND).whole(1, new ConfigurationUpdate.Level(20, 1));
        int in = 0;
        for (double now = 0; now < 10_000; now += 10) { // 100 a second are asked
            in += f.tables.wait(0, now, 0.5) == 0 ? 1 : 0;
        }
        assertEquals(200, in, 6);
        double wait = 0;
        for (int i = 0; i < 20; i++) {
            wait = f.tables.wait(0, 10_000, 0.5);
        }
        assertEquals(50, wait, 1);
    }

    @Test
    void anotherListKeepsIndicesAndSaysWhoIsGone() {
        Fixture f = new Fixture(3);
        f.hosts.listed(new HostList(2, true, List.of(new HostList.Entry("s-2", 0, 0, HostList.State.READY, 1, 0))));
        assertEquals(2, f.hosts.index("s-2"));
        assertEquals(HostList.State.GONE, f.hosts.host(0).state());
        assertEquals("127.0.0.1:1002", f.hosts.host(2).address()); // not told again: as it was
    }

    /** Chi-square over 60,000 picks; 43.8 is the 0.999 quantile for 19 degrees of freedom. */
    @Test
    void picksFollowTheWeights() {
        Fixture f = new Fixture(20);
        ConfigurationUpdate.Line[] lines = new ConfigurationUpdate.Line[20];
        double sum = 0;
        for (int h = 0; h < 20; h++) {
            lines[h] = line(h, 1 + h % 5);
            sum += 1 + h % 5;
        }
        f.tables.apply(new ConfigurationUpdate(List.of(part(List.of(), true, null, lines))));
        int[] seen = new int[20];
        for (int i = 0; i < 60_000; i++) {
            seen[f.tables.pick(0, 0, f.chance.nextDouble())]++;
        }
        double chi = 0;
        for (int h = 0; h < 20; h++) {
            double expected = 60_000 * (1 + h % 5) / sum;
            chi += Math.pow(seen[h] - expected, 2) / expected;
        }
        assertTrue(chi < 43.8, "chi-square " + chi);
    }

    @Property(tries = 200, seed = "1")
    void whateverIsOrderedAPickIsAnOpenLineAndNoneOnlyWhereThereIsNone(@ForAll @IntRange(max = 1 << 20) int seed) {
        Fixture f = new Fixture(6);
        f.chance.setSeed(seed);
        for (int step = 0; step < 30; step++) {
            int host = f.chance.nextInt(6);
            List<ConfigurationUpdate.Line> lines = new ArrayList<>(List.of(line(host, f.chance.nextInt(3))));
            f.tables.apply(
                    switch (f.chance.nextInt(4)) {
                        case 0 ->
                            new ConfigurationUpdate(
                                    List.of(part(List.of(), f.chance.nextInt(5) == 0, null, lines.get(0))));
                        case 1 -> ejected(List.of("s-" + host), List.of(), 1);
                        case 2 -> ejected(List.of(), List.of("s-" + host), 1);
                        default -> new ConfigurationUpdate(List.of(part(List.of("book"), false, null, lines.get(0))));
                    });
            f.tables.ended(host, f.chance.nextBoolean(), step);
            for (int k = 0; k < 3; k++) {
                int pick = f.tables.pick(k, step, f.chance.nextDouble()), op = k;
                boolean any = f.tables.lines(k).keySet().stream().anyMatch(h -> f.tables.isOpen(op, h));
                assertEquals(any, pick != Tables.NONE);
                assertTrue(pick == Tables.NONE || f.tables.isOpen(k, pick));
            }
        }
    }

    @Test
    void drawsAtTheEdgesStayInTheTable() {
        Fixture f = new Fixture(3).whole(3, null);
        assertNotEquals(Tables.NONE, f.tables.pick(0, 0, 0));
        assertNotEquals(Tables.NONE, f.tables.pick(0, 0, Math.nextDown(1.0)));
    }
}
