package linenring.planner;

import static linenring.planner.FakeHost.ALL;
import static linenring.planner.FakeHost.figures;
import static linenring.planner.FakeHost.operation;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import linenring.planner.Commands.RetryPolicy;
import org.junit.jupiter.api.Test;

class PlannerTest {
    private static final Set<Integer> NONE = Set.of();

    @Test
    void allProxiesShareOneTableOfAllHosts() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 5);
        assertEquals(1, Set.copyOf(f.bound.values()).size());
        assertEquals(6, f.tables.get(f.bound.get(0)).size());
    }

    @Test
    void changesThatComeWhileASubUpdateIsOutMergeIntoOneMessage() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.starts(6);
        f.settle();
        int before = f.barriers;
        f.starts(7);
        f.settle();
        f.starts(8);
        f.settle();
        assertEquals(before, f.barriers); // the first change went less than a round trip ago: both wait
        f.pass(300);
        assertEquals(before + 1, f.barriers);
        assertTrue(f.weight(0, 6) > 0 && f.weight(0, 7) > 0 && f.weight(0, 8) > 0);
    }

    @Test
    void aDrainGoesPastFullWindows() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.silent.addAll(Set.of(0, 1));
        for (int h = 0; h < 3; h++) {
            f.drains(h);
            f.settle();
            assertTrue(f.out.contains(h));
        }
    }

    @Test
    void aHostDroppedFromAWholeListIsWithdrawn() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.planner.beginHostList(true);
        for (int h = 0; h < 5; h++) {
            f.planner.hostReady(h, h % 2, 0, 1, Double.NEGATIVE_INFINITY);
        }
        f.planner.endHostList();
        f.settle();
        assertEquals(Set.of(5), f.out);
    }

    @Test
    void aDrainedHostThatReturnsComesBackWithTheWeightOfAColdOne() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.drains(0);
        f.settle();
        f.pass(3000);
        f.starts(0);
        f.settle();
        f.pass(1000);
        assertFalse(f.out.contains(0));
        assertTrue(f.weight(0, 0) > 0 && f.weight(0, 0) < 0.4);
        f.pass(12_000);
        assertEquals(1, f.weight(0, 0));
    }

    @Test
    void aHostThatIsWarmBeforeTheListTellsOfItGetsItsFullWeightAndOneThatShouldHaveBeenListedIsTriedFirst() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.planner.beginHostList(false);
        f.planner.hostReady(6, 0, 0, 1, f.now - 10_001); // warm after 10 s, and started after the first list
        f.planner.hostReady(7, 1, 0, 1, Double.NEGATIVE_INFINITY);
        f.planner.endHostList();
        f.settle();
        assertEquals(1, f.weight(0, 6));
        assertEquals(0.15, f.weight(0, 7));
    }

    @Test
    void aHostThatRestartsUnseenLosesItsFullWeightAtOnce() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.starts(6);
        f.settle();
        f.starts(3); // the table's last sub-update went a moment ago: an ordinary line would wait
        f.settle();
        assertTrue(f.weight(0, 3) <= 0.2);
    }

    @Test
    void manyColdHostsAtOnceEachGetWhatAColdOneCanDo() {
        FakeHost one = new FakeHost(figures(0)).fleet(6, 2);
        one.starts(0);
        one.settle().pass(300);
        FakeHost many = new FakeHost(figures(0)).fleet(6, 2);
        for (int h = 0; h < 4; h++) {
            many.starts(h);
        }
        many.settle().pass(300);
        assertTrue(one.weight(0, 0) > 0 && one.weight(0, 0) <= 0.2);
        assertEquals(one.weight(0, 0), many.weight(0, 0), 0.03);
    }

    /** Most tries have failed for three seconds; then a host starts. */
    private static FakeHost stormBeforeAStart(double askedOfEachProxy) {
        FakeHost f = new FakeHost(figures(0)).asked(askedOfEachProxy).fleet(6, 2);
        for (int s = 0; s < 3; s++) {
            f.second(6, 0, 30, 800, 20, Set.of(0, 1, 2, 3, 4, 5));
        }
        f.starts(6);
        return f.settle().pass(500);
    }

    @Test
    void aColdHostWaitsOutsideWhileMostTriesFailAndComesInAfterwards() {
        FakeHost f = stormBeforeAStart(10);
        assertEquals(0, f.weight(0, 6));
        for (int s = 0; s < 9; s++) {
            f.second(6, 0, 10, 100, 0, NONE);
        }
        assertTrue(f.weight(0, 6) > 0);
    }

    @Test
    void coldHostsComeInWhileMostTriesFailWhereNoProxyMeetsAHostOftenEnoughToShunTheOthers() {
        FakeHost f = stormBeforeAStart(1);
        assertTrue(f.weight(0, 6) > 0 && f.weight(0, 6) < 0.2); // at most what it can surely do
    }

    @Test
    void firstSumsTooThinToJudgeAHostByDoNotMakeEveryLaterAnswerLookSlow() {
        FakeHost f = new FakeHost(figures(0)).asked(10).fleet(12, 2);
        f.second(12, 0, 2, 100, 0, NONE); // 24 in all, but none has three
        f.second(12, 0, 30, 500, 0, NONE);
        f.starts(12);
        f.settle();
        f.pass(500);
        assertTrue(f.weight(0, 12) > 0);
    }

    @Test
    void aSlowHostGetsHalfItsShareAndKeepsIt() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.planner.requestRate(0, 0, 1000, 50);
        for (int s = 0; s < 3; s++) {
            f.planner.hostStatistics(2, 0, 10, 1, 900, 1000);
            f.second(2, 0, 10, 200, 0, NONE);
            f.planner.hostStatistics(3, 0, 10, 0, 200, 1000);
            f.planner.hostStatistics(4, 0, 10, 0, 200, 1000);
        }
        assertEquals(0.5, f.weight(0, 2));
        f.pass(8000);
        assertEquals(0.5, f.weight(0, 2));
        assertEquals(NONE, f.out);
    }

    @Test
    void aHostThatIsFarTooSlowIsToldFromFewTriesAndHalvedOnceMore() {
        FakeHost f = new FakeHost(figures(0)).fleet(12, 2);
        f.planner.requestRate(0, 0, 1000, 50);
        for (int s = 0; s < 25; s++) { // two tries a second: never eight within what sums remember
            f.planner.hostStatistics(2, 0, 2, 0, 2500, 1000);
            for (int h = 3; h < 12; h++) {
                f.planner.hostStatistics(h, 0, 2, 0, 200, 1000);
            }
            f.pass(1000);
        }
        assertEquals(0.25, f.weight(0, 2));
        assertEquals(1, f.weight(0, 3));
    }

    @Test
    void anOperationConfinedToAZoneHasATableOfThatZoneAlone() {
        FakeHost f = new FakeHost(figures(0, operation(1, ALL), operation(3, 1))).fleet(6, 3);
        assertEquals(2, f.tables.size());
        assertEquals(Set.of(0, 2, 4), f.tables.get(f.bound.get(0)).keySet());
    }

    @Test
    void nothingIsTriedAgainWithoutProofThatItNeverRan() {
        FakeHost f = new FakeHost(figures(0, operation(1, ALL), operation(1, ALL), operation(1, ALL)));
        f.fleet(4, 1);
        assertEquals(Set.of(1, 2, 4), f.tries.keySet());
        assertEquals(Set.of(RetryPolicy.ONE_IF_NOT_EXECUTED), Set.copyOf(f.tries.values()));
    }

    @Test
    void aFrozenProxyDoesNotHoldTheBatchForTheRest() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 3);
        f.silent.add(2);
        f.starts(6);
        f.pass(12_000); // its ramp alone fills a window of five
        assertEquals(1, f.weight(0, 6));
    }

    @Test
    void aLostStreamFreesItsWindowAndTheProxyIsBoundAnewWhenItComesBack() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.planner.lost(1);
        f.bound.remove(1);
        f.settle();
        f.drains(0);
        f.pass(500);
        f.join(1);
        f.settle();
        assertEquals(f.bound.get(0), f.bound.get(1));
        assertEquals(0, f.weight(1, 0));
    }

    @Test
    void messagesToOneProxyStayUnderTheCapWithRoomForWithdrawals() {
        FakeHost f = new FakeHost(figures(10)).fleet(12, 2);
        f.starts(0);
        f.starts(1);
        f.pass(2000);
        f.starts(2);
        f.pass(3000);
        assertTrue(f.barriers <= 7);
        f.drains(5);
        f.settle();
        assertTrue(f.out.contains(5));
    }

    @Test
    void healthLeavesRoomUnderTheCapForADrain() {
        FakeHost f = new FakeHost(figures(10)).fleet(30, 1);
        int before = f.barriers;
        for (int h = 0; h < 12; h++) { // another one fails every half second
            for (int all = 0; all < 30; all++) {
                f.planner.hostStatistics(all, 0, 10, all <= h ? 10 : 0, 100, 1000);
            }
            f.pass(500);
        }
        assertTrue(f.barriers - before <= 8);
        f.drains(29);
        f.settle();
        assertTrue(f.out.contains(29));
        assertTrue(f.barriers - before <= 10);
    }

    @Test
    void aFailingHostIsWithdrawnAndTriedAgainWithLittle() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.second(6, 0, 10, 100, 0, NONE).second(6, 0, 10, 100, 9, Set.of(3));
        assertEquals(Set.of(3), f.out);
        for (int s = 0; s < 3; s++) {
            f.second(3, 0, 10, 100, 0, NONE);
        }
        assertTrue(f.weight(0, 3) > 0 && f.weight(0, 3) < 0.2);
    }

    @Test
    void proxiesBehindACutWayKeepToTheirZoneAndComeBack() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        int full = f.bound.get(1);
        f.planner.requestRate(0, 0, 1000, 2);
        for (int s = 0; s < 2; s++) {
            for (int h = 0; h < 6; h++) {
                f.planner.hostStatistics(
                        h, 1, 10, h % 2 == 0 ? 10 : 0, 100, 1000); // zone 1 finds the hosts of zone 0 dead
            }
            f.second(6, 0, 10, 100, 0, NONE);
        }
        assertEquals(NONE, f.out);
        assertEquals(full, f.bound.get(0));
        assertEquals(Set.of(1, 3, 5), f.tables.get(f.bound.get(1)).keySet());
        f.pass(12_000);
        assertEquals(full, f.bound.get(1));
        assertEquals(Set.of(full), f.tables.keySet());
    }

    @Test
    void aCutIsSensedWhereOperationsHaveTablesOfTheirOwn() {
        FakeHost f = new FakeHost(figures(0, operation(1, ALL), operation(1, 1))).fleet(6, 2);
        f.planner.requestRate(0, 0, 1000, 2);
        for (int s = 0; s < 2; s++) {
            for (int h = 0; h < 6; h++) {
                f.planner.hostStatistics(h, 1, 10, h % 2 == 0 ? 10 : 0, 100, 1000);
            }
            f.second(6, 0, 10, 100, 0, NONE);
        }
        f.pass(2000);
        assertTrue(f.tables.values().stream().anyMatch(t -> t.keySet().equals(Set.of(1, 3, 5)))); // zone 1's own
    }

    @Test
    void manySuspectsAtOnceDoNotEmptyTheTable() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.second(6, 0, 10, 100, 0, NONE).second(6, 0, 20, 100, 20, Set.of(0, 1, 2, 3));
        assertTrue(f.out.size() <= 3);
    }

    @Test
    void theLastHostsOfAnOperationAreLetBackThoughSick() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.second(6, 0, 10, 100, 0, NONE).second(6, 0, 10, 100, 9, Set.of(3));
        assertEquals(Set.of(3), f.out);
        for (int h : new int[] {0, 1, 2, 4, 5}) {
            f.drains(h);
        }
        f.settle();
        assertFalse(f.out.contains(3));
    }

    @Test
    void overloadTurnsAwayWhatEarnsLeastAndLetsItInAgain() {
        FakeHost f = new FakeHost(figures(0, operation(1, ALL), operation(3, ALL))).fleet(4, 1);
        for (int s = 0; s < 4; s++) {
            f.planner.requestRate(0, 0, 1000, 50);
            f.planner.requestRate(0, 1, 1000, 20);
            f.second(4, 0, 20, 900, 0, NONE);
        }
        assertTrue(f.levels.get(1) < 0.9);
        assertEquals(1, f.levels.get(2));
        for (int s = 0; s < 30; s++) {
            f.second(4, 0, 20, 100, 0, NONE);
        }
        assertEquals(1, f.levels.get(1));
    }

    @Test
    void sumsThatBeganBeforeACutDoNotCutASecondTimeHoweverLongTheyAre() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.span = 5000; // the intake is narrow: each sum has waited while it grew
        for (int s = 0; s < 20; s++) {
            f.planner.requestRate(0, 0, 1000, 100);
            f.second(6, 0, 20, 200, 0, NONE);
        }
        double once = 1;
        for (int s = 0; s < 12 && once == 1; s++) {
            f.second(6, 0, 20, 900, 0, NONE);
            once = f.levels.getOrDefault(1, 1.0);
        }
        assertTrue(once < 1);
        for (int s = 0; s < 6; s++) {
            f.second(6, 0, 20, 900, 0, NONE); // they still tell of what was let in before
            assertEquals(once, f.levels.get(1));
        }
    }

    @Test
    void nothingIsTriedAgainInAStormUnderLoweredLevels() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        for (int s = 0; s < 5; s++) {
            f.planner.requestRate(0, 0, 1000, 100);
            f.second(6, 0, 30, 800, 20, Set.of(0, 1, 2, 3, 4, 5));
        }
        assertEquals(RetryPolicy.NONE, f.tries.get(1));
        assertEquals(NONE, f.out); // all are as bad: none is withdrawn
        for (int s = 0; s < 30; s++) {
            f.second(6, 0, 20, 100, 0, NONE);
        }
        assertEquals(RetryPolicy.ONE_IF_NOT_EXECUTED, f.tries.get(1));
    }

    @Test
    void aSliceGetsItsNextOwnerOnlyWhenNoWriteCanBeInTheHandsOfTheLast() {
        FakeHost f = new FakeHost(figures(0, new PlannerSettings.Shards(4, true, 2000, 3000)));
        f.fleet(3, 0);
        f.planner.charge(2, true);
        f.planner.held(2, 1, 1);
        f.settle();
        f.drains(1);
        f.settle();
        f.pass(3000);
        assertEquals(NONE, f.tables.getOrDefault(2, new java.util.TreeMap<>()).keySet());
        f.pass(6000);
        assertEquals(1, f.tables.get(2).size());
    }

    @Test
    void whatIsDueRidesAlongWithADrain() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.starts(6);
        f.settle();
        f.starts(7); // the last message to all went a moment ago: alone it would wait
        f.drains(0);
        int before = f.barriers;
        f.settle();
        assertTrue(f.out.contains(0) && f.weight(0, 7) > 0);
        assertEquals(before + 1, f.barriers);
    }

    @Test
    void theQueueCountsTheHeadOfEachMessage() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 160); // a message to all takes 160 x (1 + 5) lines
        f.drains(0);
        f.settle();
        f.drains(1);
        f.settle(); // 960 of 1500 lines wait: a second one has no room before answers come
        assertEquals(Set.of(0), f.out);
        f.pass(200);
        assertEquals(Set.of(0, 1), f.out);
    }

    @Test
    void whatWaitsForALostStreamIsStillInTheChannelUntilALaterAnswerShowsItGone() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 160);
        f.drains(0);
        f.settle(); // 960 of 1500 lines
        for (int p = 1; p < 160; p++) {
            f.planner.lost(p);
            f.join(p); // they come back at once, and the channel is no shorter
        }
        f.drains(1);
        f.settle();
        assertEquals(Set.of(0), f.out);
        f.planner.barrierAcknowledged(
                0, f.barriers, 200); // its message may have gone first of all: the others may be there yet
        f.settle();
        assertEquals(Set.of(0), f.out);
        f.pass(10_000); // at a fifth of the pace it is through by now
        assertEquals(Set.of(0, 1), f.out);
    }

    @Test
    void anAnswerToALaterMessageShowsThatEarlierOnesHaveLeftTheChannel() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 120);
        for (int p = 1; p < 120; p++) {
            f.silent.add(p); // their answers are lost
        }
        f.drains(0);
        f.settle().pass(200); // proxy 0 alone has answered: 714 lines may be in the channel still
        f.join(120); // bound by a message of its own, which follows them
        f.pass(400);
        for (int h : new int[] {1, 2}) { // 726 lines each, and 1500 may wait
            f.drains(h);
            f.settle();
        }
        assertEquals(Set.of(0, 1), f.out); // the first 714 need 0.7 s of the channel in any case
        f.pass(1000);
        assertEquals(Set.of(0, 1, 2), f.out);
    }

    @Test
    void anAnswerThatOvertakesDoesNotShowThatOlderMessagesHaveLeft() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 100);
        for (int p = 0; p < 100; p++) {
            f.silent.add(p); // the channel is slow: they have not got it yet
        }
        f.drains(0);
        f.settle(); // 600 of 1500 lines
        for (int p = 80; p < 100; p++) {
            f.planner.lost(p); // what was on its way to them is lost and makes way
            f.joined.remove(p);
        }
        f.join(100);
        f.pass(300); // the newcomer is bound, and its answer is there before the others'
        assertTrue(f.bound.containsKey(100));
        for (int h : new int[] {1, 2}) { // 486 lines each
            f.drains(h);
            f.settle();
        }
        assertEquals(Set.of(0, 1), f.out);
    }

    @Test
    void linesThatTheWayAddsToAMessageCountAsWaiting() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 110);
        f.wayAdds = 4;
        f.drains(0);
        f.settle(); // 110 x (1 + 5 + 4) of 1500 lines
        f.drains(1);
        f.settle();
        assertEquals(Set.of(0), f.out);
    }

    @Test
    void theProxiesThatAreAskedMostAreBoundFirst() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 0);
        for (int p = 0; p < 200; p++) {
            f.planner.joined(p, 0, p);
        }
        f.settle();
        assertTrue(f.bound.containsKey(199) && !f.bound.containsKey(0));
    }

    @Test
    void newcomersThatTheChannelHasNoFullTablesForGetAPart() {
        FakeHost f = new FakeHost(figures(0)).fleet(40, 2);
        int full = f.bound.get(0);
        for (int p = 2; p < 100; p++) { // their steward died: 100 full tables take 4.6 s, a standing one's size 1.2 s
            f.join(p);
        }
        f.settle();
        assertEquals(100, f.bound.size());
        assertTrue(f.bound.get(99) != full && f.tables.get(f.bound.get(99)).size() < 10);
        f.pass(8000);
        assertEquals(full, f.bound.get(0)); // who has one keeps it
        int wider = f.tables.get(f.bound.get(99)).size();
        assertTrue(wider > 15 && wider < 30, wider + " of 40");
        for (int p = 50; p < 100; p++) { // it is back
            f.planner.lost(p);
            f.joined.remove(p);
            f.bound.remove(p);
        }
        f.pass(8000);
        assertEquals(Set.of(full), Set.copyOf(f.bound.values()));
        assertEquals(Set.of(full), f.tables.keySet()); // the parts are cleared
    }

    @Test
    void aPartWhoseHostsHaveGoneIsLeftAndNewHostsAreDealtToParts() {
        FakeHost f = new FakeHost(figures(0)).fleet(40, 0);
        for (int p = 0; p < 200; p++) {
            f.join(p);
        }
        f.settle().pass(8000);
        Set<Integer> gone = Set.copyOf(f.tables.get(f.bound.get(0)).keySet());
        assertTrue(gone.size() < 20);
        for (int h = 40; h < 50; h++) {
            f.starts(h);
        }
        gone.forEach(f::drains);
        f.settle().pass(25_000);
        for (int p = 0; p < 200; p++) {
            int proxy = p;
            assertTrue(f.tables.get(f.bound.get(p)).keySet().stream()
                            .filter(h -> f.weight(proxy, h) > 0)
                            .count()
                    > 2);
        }
        for (int h = 40; h < 50; h++) {
            int host = h;
            assertTrue(f.bound.values().stream().anyMatch(t -> f.tables.get(t).containsKey(host)), "s-" + h);
        }
    }

    @Test
    void hostsThatReplaceAnotherPartsGoThereAndNotWhereMostAreAlready() {
        FakeHost f = new FakeHost(figures(0)).fleet(40, 0);
        for (int p = 0; p < 200; p++) {
            f.join(p);
        }
        f.settle().pass(8000);
        int hit = f.bound.get(0);
        Set<Integer> gone = Set.copyOf(f.tables.get(hit).keySet());
        List<Integer> others =
                f.bound.values().stream().distinct().filter(t -> t != hit).toList();
        gone.stream().filter(h -> h % 20 >= 6).forEach(f::drains); // of each part some stay: they are dealt in turn
        f.settle().pass(3000);
        for (int h = 40; h < 46; h++) {
            f.starts(h);
        }
        f.settle().pass(4000);
        long here = newcomers(f, hit);
        others.forEach(t -> assertTrue(here > newcomers(f, t), here + " and " + newcomers(f, t)));
    }

    private static long newcomers(FakeHost f, int table) {
        return f.tables.get(table).keySet().stream().filter(h -> h >= 40).count();
    }

    @Test
    void newcomersGetPartsOfEachTableWhereOperationsAreOpenToDifferentHosts() {
        FakeHost f =
                new FakeHost(figures(0, FakeHost.operation(1, FakeHost.ALL), FakeHost.operation(1, 1))).fleet(40, 0);
        for (int p = 0; p < 60; p++) {
            f.join(p);
        }
        f.settle();
        assertEquals(60, f.bound.size()); // the latest bind of each is to a part of the second table
        assertTrue(f.bound.values().stream()
                .allMatch(t -> f.tables.get(t).keySet().stream().allMatch(h -> h % 2 == 0)));
    }

    @Test
    void drainsThatFindNoRoomGoTogetherAndFirst() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 120);
        f.drains(0);
        f.drains(1);
        f.settle(); // 840 of 1500 lines
        int before = f.barriers;
        f.drains(2);
        f.drains(3);
        f.starts(6);
        f.settle(); // 720 lines and more: there is no room for one
        assertEquals(Set.of(0, 1), f.out);
        assertEquals(before, f.barriers);
        f.pass(100);
        assertEquals(Set.of(0, 1, 2, 3), f.out);
    }

    @Test
    void aSubUpdateThatNoQueueHoldsGoesInPieces() {
        FakeHost f = new FakeHost(figures(0)).fleet(4, 40);
        for (int h = 4; h < 34; h++) {
            f.starts(h); // thirty lines to forty proxies: 1400 of 1500
        }
        f.settle();
        f.pass(20_000);
        assertTrue(java.util.stream.IntStream.range(4, 34).allMatch(h -> f.weight(0, h) > 0));
    }

    @Test
    void aKindThatIsLateBesideAnUnhurriedOneGetsHalfThoughEachHostsSumsAreThin() {
        FakeHost f = new FakeHost(figures(0)).fleet(40, 2);
        f.planner.beginHostList(false);
        for (int h = 20; h < 40; h++) {
            f.planner.hostReady(h, h % 2, 1, 1, Double.NEGATIVE_INFINITY);
        }
        f.planner.endHostList();
        f.planner.requestRate(0, 0, 1000, 50);
        for (int h = 0; h < 40; h++) {
            f.planner.hostStatistics(h, 0, 4, 0, h < 20 ? 200 : 900, 1000);
        }
        f.pass(2000);
        assertEquals(0.5, f.weight(0, 30));
        assertEquals(1, f.weight(0, 10));
    }

    @Test
    void onASlowChannelOnlyDrainsAreWrittenBehindAQuarterOfTheQueue() {
        FakeHost f = new FakeHost(figures(0)).fleet(12, 40);
        f.answerMs = 4000; // the grace is 2 s
        f.starts(12);
        f.pass(3000);
        f.silent.addAll(f.joined);
        f.drains(0);
        f.settle();
        f.drains(1);
        f.settle(); // 480 of 1500 lines
        f.second(12, 0, 10, 100, 9, Set.of(5)).second(12, 0, 10, 100, 9, Set.of(5));
        assertEquals(Set.of(0, 1), f.out);
        f.drains(2);
        f.settle();
        assertEquals(Set.of(0, 1, 2), f.out);
    }

    @Test
    void linesThatABindBringsBesideTheTableCountAsWaiting() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 0);
        f.bindsBring = 400;
        f.silent.addAll(Set.of(0, 1, 2, 3, 4, 5));
        for (int p = 0; p < 6; p++) {
            f.join(p);
        }
        f.settle();
        assertEquals(3, f.bound.size()); // 1,236 of 1500 lines: a fourth would be over
    }

    @Test
    void aHundredZonesAndKindsAreServed() {
        FakeHost f = new FakeHost(figures(0)).fleet(6, 2);
        f.planner.beginHostList(false);
        f.planner.hostReady(6, 100, 90, 1, Double.NEGATIVE_INFINITY);
        f.planner.endHostList();
        f.planner.joined(2, 99, 1);
        f.joined.add(2);
        f.planner.hostStatistics(6, 100, 5, 0, 100, 1000);
        f.settle().pass(20_000);
        assertTrue(f.weight(2, 6) > 0);
    }
}
