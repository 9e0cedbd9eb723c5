package linenring.steward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import linenring.exchange.Stream;
import linenring.log.Log;
import linenring.message.Order;
import linenring.message.Order.Level;
import linenring.message.Order.Line;
import linenring.message.Order.Part;
import linenring.planner.Commands;
import linenring.planner.Commands.RetryPolicy;
import org.junit.jupiter.api.Test;

class FleetStateTest {
    private static final List<String> NONE = List.of();

    private static final class Way implements Stream {
        final List<Order> commands = new ArrayList<>();
        String closed;

        @Override
        public void write(Order order) {
            commands.add(order);
        }

        @Override
        public void close(String why) {
            closed = why;
        }

        List<Part> last() {
            return commands.get(commands.size() - 1).parts();
        }
    }

    private final FleetState fleetState =
            new FleetState(List.of("lookup", "order"), 3, new Log(new PrintStream(OutputStream.nullOutputStream())));
    private final Way way = new Way(), other = new Way();

    private FleetState fleet() {
        for (int h = 0; h < 3; h++) {
            fleetState.hostIds.assign("s-" + h);
            fleetState.line(7, h, 1);
        }
        return fleetState;
    }

    private Way bound() {
        fleet().joined(0, way, true);
        fleetState.bind(7, 0, 0);
        fleetState.barrier(1, false);
        fleetState.send();
        return way;
    }

    private static Part part(
            List<Line> lines, boolean whole, Level level, List<String> out, List<String> back, int mark) {
        return new Part(NONE, whole, lines, level, out, back, mark);
    }

    @Test
    void aBindBringsTheWholeTableWithLevelsWithdrawnHostsAndTheMarkAsOneMessage() {
        fleet().joined(0, way, true);
        fleetState.withdraw(1, true);
        fleetState.send();
        fleetState.level(7, 0, 0.8, RetryPolicy.ONE_ON_PROOF);
        fleetState.bind(7, 0, 0);
        fleetState.barrier(905, false);
        fleetState.joined(0, way, true); // the withdrawal it was told of on its way may be lost with the stream
        fleetState.bind(7, 0, 0);
        fleetState.barrier(906, false);
        fleetState.send();
        assertEquals(2, way.commands.size());
        assertEquals(
                List.of(part(
                        List.of(new Line("s-0", 1), new Line("s-1", 1), new Line("s-2", 1)),
                        true,
                        new Level(0.8, 1),
                        List.of("s-1"),
                        NONE,
                        906)),
                way.last());
    }

    @Test
    void changesGoToThoseBoundToTheTableAlone() {
        bound();
        fleetState.joined(1, other, true);
        fleetState.line(7, 1, 0);
        fleetState.line(7, 2, 0.5);
        fleetState.barrier(2, false);
        fleetState.send();
        assertEquals(
                List.of(part(List.of(new Line("s-1", 0), new Line("s-2", 0.5)), false, null, NONE, NONE, 2)),
                way.last());
        assertEquals(0, other.commands.size());
    }

    @Test
    void aWithdrawalReachesStandingTablesToo() {
        bound();
        fleetState.joined(1, other, true);
        fleetState.withdraw(1, true);
        fleetState.barrier(2, false);
        fleetState.send();
        List<Part> expected = List.of(part(List.of(), false, null, List.of("s-1"), NONE, 2));
        assertEquals(expected, way.last());
        assertEquals(expected, other.last());
    }

    @Test
    void operationsOnOtherTablesOrLevelsGetPartsOfTheirOwn() {
        fleetState.hostIds.assign("s-0");
        fleetState.line(7, 0, 1);
        fleetState.line(8, 0, 0.5);
        fleetState.level(7, 1, 0.7, RetryPolicy.NONE);
        fleetState.joined(0, way, true);
        fleetState.bind(7, 1, 0);
        fleetState.bind(8, 2, 0);
        fleetState.barrier(3, false);
        fleetState.send();
        assertEquals(
                List.of(
                        new Part(
                                List.of("lookup"),
                                true,
                                List.of(new Line("s-0", 1)),
                                new Level(0.7, 0),
                                NONE,
                                NONE,
                                Order.NO_MARK),
                        new Part(List.of("order"), true, List.of(new Line("s-0", 0.5)), null, NONE, NONE, 3)),
                way.last());
    }

    @Test
    void levelsThatDifferByOperationGoWithTheLinesInOneMessage() {
        bound();
        fleetState.line(7, 0, 0.5);
        fleetState.level(7, 1, 0.4, RetryPolicy.ONE_ON_PROOF);
        fleetState.level(7, 2, 1, RetryPolicy.ONE_ON_PROOF);
        fleetState.barrier(4, false);
        fleetState.send();
        assertEquals(
                List.of(
                        part(List.of(new Line("s-0", 0.5)), false, null, NONE, NONE, Order.NO_MARK),
                        new Part(List.of("lookup"), false, List.of(), new Level(0.4, 1), NONE, NONE, Order.NO_MARK),
                        new Part(List.of("order"), false, List.of(), new Level(1, 1), NONE, NONE, 4)),
                way.last());
    }

    @Test
    void theLowerOfTheFleetsLevelAndTheTablesCountsWithTheTablesWayOfTryingAgain() {
        bound();
        fleetState.level(7, 1, 0.4, RetryPolicy.NONE);
        fleetState.level(Commands.EVERY_TABLE, 0, 0.6, RetryPolicy.ONE);
        fleetState.send();
        assertEquals(
                List.of(
                        new Part(List.of("lookup"), false, List.of(), new Level(0.4, 0), NONE, NONE, Order.NO_MARK),
                        new Part(List.of("order"), false, List.of(), new Level(0.6, 2), NONE, NONE, Order.NO_MARK)),
                way.last());
        fleetState.joined(1, other, true);
        fleetState.bind(7, 0, 1);
        fleetState.send();
        assertEquals(new Level(0.4, 0), other.last().get(1).level());
    }

    @Test
    void aHostThatWasShutOutBeforeABreakIsLetBackWithTheNextTable() {
        bound();
        fleetState.withdraw(1, true);
        fleetState.send();
        fleetState.left(0);
        fleetState.withdraw(1, false); // said to nobody: the proxy still shuts it out
        fleetState.send();
        fleetState.joined(0, other, false);
        fleetState.bind(7, 0, 0);
        fleetState.send();
        assertTrue(other.last().get(0).letBack().contains("s-1"));
    }

    @Test
    void aProxyThatWasFrozenIsSureOfAllButWhatWasOnItsWay() {
        bound();
        fleetState.withdraw(1, true);
        fleetState.send();
        fleetState.joined(0, way, false); // on the very same stream
        fleetState.withdraw(1, false);
        fleetState.bind(7, 0, 0);
        fleetState.send();
        assertEquals(List.of("s-1"), way.last().get(0).letBack());
        assertEquals(null, way.closed);
    }

    @Test
    void hostsThatOthersMayHaveShutOutAreLetBackAFewAtATime() {
        bound();
        fleetState.withdraw(0, true);
        fleetState.send();
        fleetState.left(0);
        fleetState.joined(0, other, false); // meanwhile another steward, or an earlier life, ordered there
        fleetState.withdraw(0, false);
        fleetState.level(7, 0, 1, RetryPolicy.ONE_ON_PROOF);
        assertEquals(1, fleetState.bindBrings(7, 0)); // the decisions' account must know of the line for s-0
        fleetState.bind(7, 0, 0);
        fleetState.send();
        assertEquals(List.of("s-0", "s-1"), other.last().get(0).letBack()); // two levels are told in one line
        fleetState.line(7, 0, 0.5);
        assertEquals(2, fleetState.lines(0, 1)); // the account is told of it
        fleetState.send();
        assertEquals(List.of("s-2"), other.last().get(0).letBack()); // one with each message
        fleetState.line(7, 0, 0.6);
        fleetState.send();
        assertEquals(NONE, other.last().get(0).letBack());
    }

    @Test
    void aHostThatOthersMayHaveShutOutIsLetBackWithItsNextLineButNoDrainWaitsForIt() {
        fleet().joined(0, way, false);
        fleetState.level(7, 1, 0.9, RetryPolicy.NONE);
        fleetState.level(7, 2, 0.8, RetryPolicy.NONE);
        fleetState.bind(7, 0, 0);
        fleetState.send();
        assertEquals(NONE, way.last().get(2).letBack());
        fleetState.withdraw(1, true);
        fleetState.send();
        assertEquals(List.of(part(List.of(), false, null, List.of("s-1"), NONE, Order.NO_MARK)), way.last());
        assertEquals(
                List.of(1, 0, 1),
                List.of(fleetState.lineBrings(0, 0), fleetState.lineBrings(1, 0), fleetState.lineBrings(2, 0)));
        fleetState.line(7, 2, 0.5);
        fleetState.send();
        assertEquals(List.of("s-2", "s-0"), way.last().get(0).letBack());
        assertEquals(0, fleetState.lineBrings(2, 0));
    }

    @Test
    void aProxyThatIsAsNewAsTheStewardHasNothingToBeLetBack() {
        assertEquals(NONE, bound().last().get(0).letBack());
    }

    @Test
    void aTableOfTensOfThousandsOfHostsGoesInSeveralParts() {
        for (int h = 0; h < 25_000; h++) {
            fleetState.hostIds.assign("s-" + h);
            fleetState.line(7, h, 1);
        }
        fleetState.joined(0, way, true);
        fleetState.bind(7, 0, 0);
        fleetState.barrier(1, false);
        fleetState.send();
        assertEquals(
                List.of(10_000, 10_000, 5000),
                way.last().stream().map(e -> e.lines().size()).toList());
        assertEquals(
                List.of(true, false, false),
                way.last().stream().map(Part::whole).toList());
        assertEquals(1, way.last().get(2).mark());
    }

    @Test
    void aLineForAHostThatWasWithdrawnWhileInNoTableShutsItOutAtOnce() {
        bound();
        fleetState.hostIds.assign("s-3");
        fleetState.withdraw(3, true);
        fleetState.send();
        assertEquals(1, way.commands.size()); // it holds no line of it
        fleetState.line(7, 3, 0.2);
        fleetState.send();
        assertEquals(List.of("s-3"), way.last().get(0).shutOut());
        fleetState.withdraw(3, false);
        fleetState.send();
        assertEquals(List.of("s-3"), way.last().get(0).letBack());
    }

    @Test
    void aMarkForAllReachesThoseThatNothingElseConcerns() {
        bound();
        fleetState.joined(1, other, true);
        fleetState.barrier(9, true);
        fleetState.send();
        assertEquals(List.of(part(List.of(), false, null, NONE, NONE, 9)), other.last());
    }

    @Test
    void aNewStreamEndsTheOldOneAndTheOldOnesEndIsNoLeaving() {
        bound();
        fleetState.joined(0, other, false);
        assertTrue(way.closed != null && other.closed == null);
        assertEquals(-1, fleetState.proxyOf(way));
        assertEquals(0, fleetState.proxyOf(other));
        assertTrue(fleetState.isCurrent(0, other) && !fleetState.isCurrent(0, way));
    }

    @Test
    void nothingIsWrittenToAProxyThatHasLeft() {
        bound();
        fleetState.left(0);
        fleetState.line(7, 0, 0.1);
        fleetState.bind(7, 0, 0);
        fleetState.withdraw(1, true);
        fleetState.barrier(5, true);
        fleetState.send();
        assertEquals(1, way.commands.size());
    }

    @Test
    void wipingATableEmptiesItForItsUsers() {
        bound();
        fleetState.wipe(7);
        fleetState.send();
        assertEquals(List.of(part(List.of(), true, null, NONE, NONE, Order.NO_MARK)), way.last());
    }
}
