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
    private static final List<String> EMPTY_LIST = List.of();

    private static final class RecordingStream implements ProxyStream {
        private final List<ConfigurationUpdate> updates = new ArrayList<>();
        private String closeReason;

        @Override
        public void write(ConfigurationUpdate update) {
            updates.add(update);
        }

        @Override
        public void close(String reason) {
            closeReason = reason;
        }

        List<Part> lastParts() {
            return updates.get(updates.size() - 1).parts();
        }
    }

    private final FleetState fleetState =
            new FleetState(List.of("lookup", "order"), 3, new Log(new PrintStream(OutputStream.nullOutputStream())));
    private final RecordingStream stream = new RecordingStream();
    private final RecordingStream otherStream = new RecordingStream();

    private FleetState withThreeHosts() {
        for (int host = 0; host < 3; host++) {
            fleetState.hostIds().assign("s-" + host);
            fleetState.setWeight(7, host, 1);
        }
        return fleetState;
    }

    private RecordingStream connectAndBind() {
        withThreeHosts().connect(0, stream, true);
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(1);
        fleetState.send();
        return stream;
    }

    private static Part part(
            List<TableEntry> entries,
            boolean replacesTable,
            AdmissionPolicy admission,
            List<String> ejected,
            List<String> restored,
            int nonce) {
        return new Part(EMPTY_LIST, replacesTable, entries, admission, ejected, restored, nonce);
    }

    @Test
    void bindingSendsTableAdmissionEjectionsAndNonceAsOneUpdate() {
        withThreeHosts().connect(0, stream, true);
        fleetState.setEjected(1, true);
        fleetState.send();
        fleetState.setAdmission(7, 0, 0.8, RetryPolicy.ONE_IF_NOT_EXECUTED);
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(905);
        fleetState.connect(0, stream, true); // an ejection in transit may be lost with the stream
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(906);
        fleetState.send();
        assertEquals(2, stream.updates.size());
        assertEquals(
                List.of(part(
                        List.of(new TableEntry("s-0", 1), new TableEntry("s-1", 1), new TableEntry("s-2", 1)),
                        true,
                        new AdmissionPolicy(0.8, 1),
                        List.of("s-1"),
                        EMPTY_LIST,
                        906)),
                stream.lastParts());
    }

    @Test
    void changesAreSentOnlyToProxiesBoundToTheTable() {
        connectAndBind();
        fleetState.connect(1, otherStream, true);
        fleetState.setWeight(7, 1, 0);
        fleetState.setWeight(7, 2, 0.5);
        fleetState.requestAcknowledgement(2);
        fleetState.send();
        assertEquals(
                List.of(part(
                        List.of(new TableEntry("s-1", 0), new TableEntry("s-2", 0.5)),
                        false,
                        null,
                        EMPTY_LIST,
                        EMPTY_LIST,
                        2)),
                stream.lastParts());
        assertEquals(0, otherStream.updates.size());
    }

    @Test
    void ejectionIsSentToProxiesWithInheritedTablesToo() {
        connectAndBind();
        fleetState.connect(1, otherStream, true);
        fleetState.setEjected(1, true);
        fleetState.requestAcknowledgement(2);
        fleetState.send();
        List<Part> expected = List.of(part(List.of(), false, null, List.of("s-1"), EMPTY_LIST, 2));
        assertEquals(expected, stream.lastParts());
        assertEquals(expected, otherStream.lastParts());
    }

    @Test
    void operationsOnDifferentTablesGetSeparateParts() {
        fleetState.hostIds().assign("s-0");
        fleetState.setWeight(7, 0, 1);
        fleetState.setWeight(8, 0, 0.5);
        fleetState.setAdmission(7, 1, 0.7, RetryPolicy.NONE);
        fleetState.connect(0, stream, true);
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
                                EMPTY_LIST,
                                EMPTY_LIST,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(
                                List.of("order"),
                                true,
                                List.of(new TableEntry("s-0", 0.5)),
                                null,
                                EMPTY_LIST,
                                EMPTY_LIST,
                                3)),
                stream.lastParts());
    }

    @Test
    void admissionThatDiffersByOperationIsSentInOneUpdateWithTheEntries() {
        connectAndBind();
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
                                EMPTY_LIST,
                                EMPTY_LIST,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(
                                List.of("lookup"),
                                false,
                                List.of(),
                                new AdmissionPolicy(0.4, 1),
                                EMPTY_LIST,
                                EMPTY_LIST,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(
                                List.of("order"),
                                false,
                                List.of(),
                                new AdmissionPolicy(1, 1),
                                EMPTY_LIST,
                                EMPTY_LIST,
                                4)),
                stream.lastParts());
    }

    @Test
    void newProxyGetsTheAdmissionRatioAndRetryPolicyOfEachOperation() {
        connectAndBind();
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
                                EMPTY_LIST,
                                EMPTY_LIST,
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new Part(
                                List.of("order"),
                                false,
                                List.of(),
                                new AdmissionPolicy(0.6, 2),
                                EMPTY_LIST,
                                EMPTY_LIST,
                                ConfigurationUpdate.WITHOUT_NONCE)),
                stream.lastParts());
        fleetState.connect(1, otherStream, true);
        fleetState.bindProxy(7, 0, 1);
        fleetState.send();
        assertEquals(new AdmissionPolicy(0.4, 0), otherStream.lastParts().get(1).admission());
        assertEquals(new AdmissionPolicy(0.6, 2), otherStream.lastParts().get(2).admission());
    }

    @Test
    void hostEjectedBeforeADisconnectIsRestoredWithTheNextTable() {
        connectAndBind();
        fleetState.setEjected(1, true);
        fleetState.send();
        fleetState.disconnect(0);
        fleetState.setEjected(1, false); // this restoration reaches no proxy, so the proxy keeps the host ejected
        fleetState.send();
        fleetState.connect(0, otherStream, false);
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        assertTrue(otherStream.lastParts().get(0).restored().contains("s-1"));
    }

    @Test
    void proxyThatResubscribesOnTheSameStreamIsSentOnlyUncertainRestorations() {
        connectAndBind();
        fleetState.setEjected(1, true);
        fleetState.send();
        fleetState.connect(0, stream, false); // the proxy resubscribes on the stream it already has
        fleetState.setEjected(1, false);
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        assertEquals(List.of("s-1"), stream.lastParts().get(0).restored());
        assertEquals(null, stream.closeReason);
    }

    @Test
    void hostsThatOtherControllersMayHaveEjectedAreRestoredAFewAtATime() {
        connectAndBind();
        fleetState.setEjected(0, true);
        fleetState.send();
        fleetState.disconnect(0);
        // Another controller or an earlier process may have sent ejections meanwhile.
        fleetState.connect(0, otherStream, false);
        fleetState.setEjected(0, false);
        fleetState.setAdmission(7, 0, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
        assertEquals(1, fleetState.extraEntriesOfBind(7, 0)); // the planner must count the restoration of s-0
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        // Two equal policies are sent as one, which leaves room for one restoration.
        assertEquals(List.of("s-0", "s-1"), otherStream.lastParts().get(0).restored());
        fleetState.setWeight(7, 0, 0.5);
        // The planner must count two entries: the table entry and the restoration in the same update.
        assertEquals(2, fleetState.entriesInMessage(0, 1));
        fleetState.send();
        // Each update carries one additional restoration.
        assertEquals(List.of("s-2"), otherStream.lastParts().get(0).restored());
        fleetState.setWeight(7, 0, 0.6);
        fleetState.send();
        assertEquals(EMPTY_LIST, otherStream.lastParts().get(0).restored());
    }

    @Test
    void hostThatOtherControllersMayHaveEjectedIsRestoredWithItsNextEntryButNotWithADrain() {
        withThreeHosts().connect(0, stream, false);
        fleetState.setAdmission(7, 1, 0.9, RetryPolicy.NONE);
        fleetState.setAdmission(7, 2, 0.8, RetryPolicy.NONE);
        fleetState.bindProxy(7, 0, 0);
        fleetState.send();
        assertEquals(EMPTY_LIST, stream.lastParts().get(2).restored());
        fleetState.setEjected(1, true);
        fleetState.send();
        assertEquals(
                List.of(part(List.of(), false, null, List.of("s-1"), EMPTY_LIST, ConfigurationUpdate.WITHOUT_NONCE)),
                stream.lastParts());
        assertEquals(
                List.of(1, 0, 1),
                List.of(
                        fleetState.extraEntriesOfWeight(0, 0),
                        fleetState.extraEntriesOfWeight(1, 0),
                        fleetState.extraEntriesOfWeight(2, 0)));
        fleetState.setWeight(7, 2, 0.5);
        fleetState.send();
        assertEquals(List.of("s-2", "s-0"), stream.lastParts().get(0).restored());
        assertEquals(0, fleetState.extraEntriesOfWeight(2, 0));
    }

    @Test
    void newProxyIsSentNoRestoration() {
        assertEquals(EMPTY_LIST, connectAndBind().lastParts().get(0).restored());
    }

    @Test
    void tableOfTensOfThousandsOfHostsIsSentInSeveralParts() {
        for (int host = 0; host < 25_000; host++) {
            fleetState.hostIds().assign("s-" + host);
            fleetState.setWeight(7, host, 1);
        }
        fleetState.connect(0, stream, true);
        fleetState.bindProxy(7, 0, 0);
        fleetState.requestAcknowledgement(1);
        fleetState.send();
        assertEquals(
                List.of(10_000, 10_000, 5000),
                stream.lastParts().stream().map(part -> part.entries().size()).toList());
        assertEquals(
                List.of(true, false, false),
                stream.lastParts().stream().map(Part::replacesTable).toList());
        assertEquals(1, stream.lastParts().get(2).nonce());
    }

    @Test
    void firstEntryOfAnEjectedHostCarriesItsEjection() {
        connectAndBind();
        fleetState.hostIds().assign("s-3");
        fleetState.setEjected(3, true);
        fleetState.send();
        assertEquals(1, stream.updates.size()); // no update is sent, as the proxy's table has no entry for s-3
        fleetState.setWeight(7, 3, 0.2);
        fleetState.send();
        assertEquals(List.of("s-3"), stream.lastParts().get(0).ejected());
        fleetState.setEjected(3, false);
        fleetState.send();
        assertEquals(List.of("s-3"), stream.lastParts().get(0).restored());
    }

    @Test
    void sendsNoMessageForAnAcknowledgementRequestAlone() {
        connectAndBind();
        fleetState.connect(1, otherStream, true);
        fleetState.requestAcknowledgement(9);
        fleetState.send();
        assertEquals(1, stream.updates.size());
        assertEquals(List.of(), otherStream.updates);
    }

    @Test
    void newStreamClosesTheOldOneWithoutDisconnectingTheProxy() {
        connectAndBind();
        fleetState.connect(0, otherStream, false);
        assertTrue(stream.closeReason != null && otherStream.closeReason == null);
        assertEquals(OptionalInt.empty(), fleetState.findProxy(stream));
        assertEquals(OptionalInt.of(0), fleetState.findProxy(otherStream));
        assertTrue(fleetState.isCurrentStream(0, otherStream) && !fleetState.isCurrentStream(0, stream));
    }

    @Test
    void sendsNothingToADisconnectedProxy() {
        connectAndBind();
        fleetState.disconnect(0);
        fleetState.setWeight(7, 0, 0.1);
        fleetState.bindProxy(7, 0, 0);
        fleetState.setEjected(1, true);
        fleetState.requestAcknowledgement(5);
        fleetState.send();
        assertEquals(1, stream.updates.size());
    }

    @Test
    void clearingATableSendsAnEmptyTable() {
        connectAndBind();
        fleetState.clearTable(7);
        fleetState.send();
        assertEquals(
                List.of(part(List.of(), true, null, EMPTY_LIST, EMPTY_LIST, ConfigurationUpdate.WITHOUT_NONCE)),
                stream.lastParts());
    }
}
