package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.Commands.RetryPolicy;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;
import linenring.protocol.ConfigurationUpdate.Part;
import linenring.protocol.ConfigurationUpdate.TableEntry;
import org.junit.jupiter.api.Test;

class FleetStateTest {
    private static final List<String> NONE = List.of();

    private static final class Way implements ProxyStream {
        final List<ConfigurationUpdate> commands = new ArrayList<>();
        String closed;

        @Override
        public void write(ConfigurationUpdate order) {
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
            fleetState.hostIds().assign("s-" + h);
            fleetState.setWeight(7, h, 1);
        }
        return fleetState;
    }

    private Way bound() {
        fleet().connect(0, way, true);
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(1);
        fleetState.send();
        return way;
    }

    private static Part part(
            List<TableEntry> lines,
            boolean whole,
            AdmissionPolicy level,
            List<String> out,
            List<String> back,
            int mark) {
        return new Part(NONE, whole, lines, level, out, back, mark);
    }

    @Test
    void aBindBringsTheWholeTableWithLevelsWithdrawnHostsAndTheMarkAsOneMessage() {
        fleet().connect(0, way, true);
        fleetState.setEjected(1, true);
        fleetState.send();
        fleetState.setAdmission(7, 0, 0.8, RetryPolicy.ONE_IF_NOT_EXECUTED);
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(905);
        fleetState.connect(0, way, true); // the withdrawal it was told of on its way may be lost with the stream
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(906);
        fleetState.send();
        assertEquals(2, way.commands.size());
        assertEquals(
                List.of(part(
                        List.of(new TableEntry("s-0", 1), new TableEntry("s-1", 1), new TableEntry("s-2", 1)),
                        true,
                        new AdmissionPolicy(0.8, 1),
                        List.of("s-1"),
                        NONE,
                        906)),
                way.last());
    }

    @Test
    void changesGoToThoseBoundToTheTableAlone() {
        bound();
        fleetState.connect(1, other, true);
        fleetState.setWeight(7, 1, 0);
        fleetState.setWeight(7, 2, 0.5);
        fleetState.requestAcknowledgement(2);
        fleetState.send();
        assertEquals(
                List.of(part(
                        List.of(new TableEntry("s-1", 0), new TableEntry("s-2", 0.5)), false, null, NONE, NONE, 2)),
                way.last());
        assertEquals(0, other.commands.size());
    }

    @Test
    void aWithdrawalReachesStandingTablesToo() {
        bound();
        fleetState.connect(1, other, true);
        fleetState.setEjected(1, true);
        fleetState.requestAcknowledgement(2);
        fleetState.send();
        List<Part> expected = List.of(part(List.of(), false, null, List.of("s-1"), NONE, 2));
        assertEquals(expected, way.last());
        assertEquals(expected, other.last());
    }

    @Test
    void operationsOnOtherTablesOrLevelsGetPartsOfTheirOwn() {
        fleetState.hostIds().assign("s-0");
        fleetState.setWeight(7, 0, 1);
        fleetState.setWeight(8, 0, 0.5);
        fleetState.setAdmission(7, 1, 0.7, RetryPolicy.NONE);
        fleetState.connect(0, way, true);
        fleetState.bindProxy(7, 1, 0);
        fleetState.bindProxy(8, 2, 0);
        fleetState.requestAcknowledgement(3);
        fleetState.send();
        assertEquals(
                List.of(
                        new Part(
                                List.of("lookup"),
                                true,
                                List.of(new TableEntry("s-0", 1)),
                                new AdmissionPolicy(0.7, 0),
                                NONE,
                                NONE,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(List.of("order"), true, List.of(new TableEntry("s-0", 0.5)), null, NONE, NONE, 3)),
                way.last());
    }

    @Test
    void levelsThatDifferByOperationGoWithTheLinesInOneMessage() {
        bound();
        fleetState.setWeight(7, 0, 0.5);
        fleetState.setAdmission(7, 1, 0.4, RetryPolicy.ONE_IF_NOT_EXECUTED);
        fleetState.setAdmission(7, 2, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
        fleetState.requestAcknowledgement(4);
        fleetState.send();
        assertEquals(
                List.of(
                        part(
                                List.of(new TableEntry("s-0", 0.5)),
                                false,
                                null,
                                NONE,
                                NONE,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(
                                List.of("lookup"),
                                false,
                                List.of(),
                                new AdmissionPolicy(0.4, 1),
                                NONE,
                                NONE,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(List.of("order"), false, List.of(), new AdmissionPolicy(1, 1), NONE, NONE, 4)),
                way.last());
    }

    @Test
    void newProxyGetsTheAdmissionRatioAndRetryPolicyOfEachOperation() {
        bound();
        fleetState.setAdmission(7, 1, 0.4, RetryPolicy.NONE);
        fleetState.setAdmission(7, 2, 0.6, RetryPolicy.ONE);
        fleetState.send();
        assertEquals(
                List.of(
                        new Part(
                                List.of("lookup"),
                                false,
                                List.of(),
                                new AdmissionPolicy(0.4, 0),
                                NONE,
                                NONE,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(
                                List.of("order"),
                                false,
                                List.of(),
                                new AdmissionPolicy(0.6, 2),
                                NONE,
                                NONE,
                                ConfigurationUpdate.WITHOUT_NONCE)),
                way.last());
        fleetState.connect(1, other, true);
        fleetState.bindProxy(7, 0, 1);
        fleetState.send();
        assertEquals(new AdmissionPolicy(0.4, 0), other.last().get(1).admission());
        assertEquals(new AdmissionPolicy(0.6, 2), other.last().get(2).admission());
    }

    @Test
    void aHostThatWasShutOutBeforeABreakIsLetBackWithTheNextTable() {
        bound();
        fleetState.setEjected(1, true);
        fleetState.send();
        fleetState.disconnect(0);
        fleetState.setEjected(1, false); // said to nobody: the proxy still shuts it out
        fleetState.send();
        fleetState.connect(0, other, false);
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        assertTrue(other.last().get(0).restored().contains("s-1"));
    }

    @Test
    void aProxyThatWasFrozenIsSureOfAllButWhatWasOnItsWay() {
        bound();
        fleetState.setEjected(1, true);
        fleetState.send();
        fleetState.connect(0, way, false); // on the very same stream
        fleetState.setEjected(1, false);
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        assertEquals(List.of("s-1"), way.last().get(0).restored());
        assertEquals(null, way.closed);
    }

    @Test
    void hostsThatOthersMayHaveShutOutAreLetBackAFewAtATime() {
        bound();
        fleetState.setEjected(0, true);
        fleetState.send();
        fleetState.disconnect(0);
        fleetState.connect(0, other, false); // meanwhile another steward, or an earlier life, ordered there
        fleetState.setEjected(0, false);
        fleetState.setAdmission(7, 0, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
        assertEquals(1, fleetState.extraEntriesOfBind(7, 0)); // the decisions' account must know of the line for s-0
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        assertEquals(List.of("s-0", "s-1"), other.last().get(0).restored()); // two levels are told in one line
        fleetState.setWeight(7, 0, 0.5);
        assertEquals(2, fleetState.entriesInMessage(0, 1)); // the account is told of it
        fleetState.send();
        assertEquals(List.of("s-2"), other.last().get(0).restored()); // one with each message
        fleetState.setWeight(7, 0, 0.6);
        fleetState.send();
        assertEquals(NONE, other.last().get(0).restored());
    }

    @Test
    void aHostThatOthersMayHaveShutOutIsLetBackWithItsNextLineButNoDrainWaitsForIt() {
        fleet().connect(0, way, false);
        fleetState.setAdmission(7, 1, 0.9, RetryPolicy.NONE);
        fleetState.setAdmission(7, 2, 0.8, RetryPolicy.NONE);
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        assertEquals(NONE, way.last().get(2).restored());
        fleetState.setEjected(1, true);
        fleetState.send();
        assertEquals(
                List.of(part(List.of(), false, null, List.of("s-1"), NONE, ConfigurationUpdate.WITHOUT_NONCE)),
                way.last());
        assertEquals(
                List.of(1, 0, 1),
                List.of(
                        fleetState.extraEntriesOfWeight(0, 0),
                        fleetState.extraEntriesOfWeight(1, 0),
                        fleetState.extraEntriesOfWeight(2, 0)));
        fleetState.setWeight(7, 2, 0.5);
        fleetState.send();
        assertEquals(List.of("s-2", "s-0"), way.last().get(0).restored());
        assertEquals(0, fleetState.extraEntriesOfWeight(2, 0));
    }

    @Test
    void aProxyThatIsAsNewAsTheStewardHasNothingToBeLetBack() {
        assertEquals(NONE, bound().last().get(0).restored());
    }

    @Test
    void aTableOfTensOfThousandsOfHostsGoesInSeveralParts() {
        for (int h = 0; h < 25_000; h++) {
            fleetState.hostIds().assign("s-" + h);
            fleetState.setWeight(7, h, 1);
        }
        fleetState.connect(0, way, true);
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(1);
        fleetState.send();
        assertEquals(
                List.of(10_000, 10_000, 5000),
                way.last().stream().map(e -> e.entries().size()).toList());
        assertEquals(
                List.of(true, false, false),
                way.last().stream().map(Part::replacesTable).toList());
        assertEquals(1, way.last().get(2).nonce());
    }

    @Test
    void aLineForAHostThatWasWithdrawnWhileInNoTableShutsItOutAtOnce() {
        bound();
        fleetState.hostIds().assign("s-3");
        fleetState.setEjected(3, true);
        fleetState.send();
        assertEquals(1, way.commands.size()); // it holds no line of it
        fleetState.setWeight(7, 3, 0.2);
        fleetState.send();
        assertEquals(List.of("s-3"), way.last().get(0).ejected());
        fleetState.setEjected(3, false);
        fleetState.send();
        assertEquals(List.of("s-3"), way.last().get(0).restored());
    }

    @Test
    void sendsNoMessageForAnAcknowledgementRequestAlone() {
        bound();
        fleetState.connect(1, other, true);
        fleetState.requestAcknowledgement(9);
        fleetState.send();
        assertEquals(1, way.commands.size());
        assertEquals(List.of(), other.commands);
    }

    @Test
    void aNewStreamEndsTheOldOneAndTheOldOnesEndIsNoLeaving() {
        bound();
        fleetState.connect(0, other, false);
        assertTrue(way.closed != null && other.closed == null);
        assertEquals(OptionalInt.empty(), fleetState.proxyOf(way));
        assertEquals(OptionalInt.of(0), fleetState.proxyOf(other));
        assertTrue(fleetState.isCurrent(0, other) && !fleetState.isCurrent(0, way));
    }

    @Test
    void nothingIsWrittenToAProxyThatHasLeft() {
        bound();
        fleetState.disconnect(0);
        fleetState.setWeight(7, 0, 0.1);
        fleetState.bindProxy(7, 0, 0);
        fleetState.setEjected(1, true);
        fleetState.requestAcknowledgement(5);
        fleetState.send();
        assertEquals(1, way.commands.size());
    }

    @Test
    void wipingATableEmptiesItForItsUsers() {
        bound();
        fleetState.clearTable(7);
        fleetState.send();
        assertEquals(List.of(part(List.of(), true, null, NONE, NONE, ConfigurationUpdate.WITHOUT_NONCE)), way.last());
    }
}
