package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import linenring.planner.Commands.RetryPolicy;
import linenring.protocol.InboundMessage;
import linenring.testserver.LoadClient;
import linenring.testserver.TestBackend;
import linenring.testserver.TestBackend.Deed;
import linenring.testserver.TestBackend.Told;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class Http2GatewayTest {
    private static final int CANCEL = 8;

    private static TestBackend busy(GatewayFixture rig) {
        return rig.nodes.stream()
                .filter(n -> n.running() > 0 || !n.ran().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void invocationsGoToHostsOfTheTableAndAnswersComeBack() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(3)) {
            LoadClient c = rig.caller();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                streams.add(c.send("GET", "/quote?from=here"));
            }
            streams.forEach(s -> assertEquals(200, c.await(s).status));
            assertEquals(60, rig.ran("/quote"));
            rig.nodes.forEach(n -> assertTrue(n.ran("/quote") > 5));
            assertTrue(rig.nodes.stream().allMatch(n -> n.connections() == 1));
        }
    }

    @Test
    void unknownRoutesAreAnsweredAtOnceAndReachNoHost() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            LoadClient c = rig.caller();
            assertEquals(404, c.call("GET", "/nothing").status);
            assertEquals(404, c.call("DELETE", "/quote").status);
            assertEquals(404, c.call("GET", "/quotes").status);
            assertEquals(200, c.call("GET", "/quote/7").status);
            int upload = c.begin("POST", "/nothing", false);
            assertEquals(404, c.await(upload).status);
            assertEquals(1, rig.nodes.get(0).arrived());
        }
    }

    @Test
    void bodiesHeadsTrailersAndEarlyHintsComeThrough() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            TestBackend node = rig.nodes.get(0);
            LoadClient c = rig.caller();
            node.next(Told.of(Deed.ANSWER).bytes(1_000_000));
            assertEquals(1_000_000, c.call("GET", "/quote").bytes);
            node.next(Told.of(Deed.ANSWER).bytes(0));
            assertEquals(0, c.call("GET", "/quote").bytes);
            node.next(Told.of(Deed.EARLY_HINTS_AND_TRAILERS));
            LoadClient.Answer hinted = c.call("GET", "/quote");
            assertEquals(List.of(103), hinted.early);
            assertEquals("7", hinted.trailers.get("x-sum"));
            node.next(Told.of(Deed.ANSWER).bytes(0));
            assertEquals(200, c.call("HEAD", "/quote").status);
            int upload = c.begin("POST", "/quote", false, "content-length", "50000");
            for (int i = 0; i < 5; i++) {
                c.body(upload, 10_000, i == 4);
            }
            assertEquals(200, c.await(upload).status);
            assertEquals(50_000, node.bodyBytes("/quote"));
            int trailed = c.begin("POST", "/quote", false);
            c.body(trailed, 10, false);
            c.link.headers(
                    trailed, new MetaData(HttpVersion.HTTP_2, HttpFields.build().put("x-last", "9")), true);
            assertEquals(200, c.await(trailed).status);
            assertEquals("9", node.trailers().get("x-last"));
            node.next(Told.of(Deed.LIE_ABOUT_LENGTH).bytes(100));
            LoadClient.Answer lied = c.call("GET", "/quote");
            assertTrue(lied.reset >= 0, "a body that is shorter than it says is not passed on as whole");
        }
    }

    @Test
    void aClientThatLiesAboutItsLengthIsResetAndOthersGoOn() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            LoadClient c = rig.caller();
            int lie = c.begin("POST", "/assign", false, "content-length", "10");
            c.body(lie, 20, true);
            assertTrue(c.await(lie).reset >= 0 || c.answer(lie).status >= 400);
            assertEquals(200, c.call("GET", "/quote").status);
        }
    }

    // ---- what runs, and how often

    @Test
    void anAssignWhoseClientResetsRunsAtMostOnceWheneverThatIs() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(3)) {
            rig.all(RetryPolicy.TWO);
            rig.nodes.forEach(n -> n.always("/assign", Told.of(Deed.ANSWER).after(100)));
            LoadClient c = rig.caller();
            for (int i = 0; i < 20; i++) { // before its body has come, at once, while it runs
                int held = c.begin("POST", "/assign", false, "x-mark", "held" + i);
                c.link.reset(held, CANCEL);
                int quick = c.send("POST", "/assign", "x-mark", "quick" + i);
                c.link.reset(quick, CANCEL);
                String word = "runs" + i;
                int runs = c.send("POST", "/assign", "x-mark", word);
                c.until(() -> rig.marked(word) == 1, "it is at a node");
                c.link.reset(runs, CANCEL);
            }
            assertEquals(200, c.call("POST", "/assign", "x-mark", "last").status);
            LoadClient.awaiting(this, () -> rig.front.runningNow() == 0, "all are over");
            for (int i = 0; i < 20; i++) {
                assertTrue(rig.marked("held" + i) <= 1 && rig.marked("quick" + i) <= 1);
                assertEquals(1, rig.marked("runs" + i));
            }
        }
    }

    @Test
    void aHostThatDiesWithAnAssignIsAnsweredAtOnceAndItIsNotSentAgain() throws IOException {
        for (Deed deed : List.of(Deed.DIE, Deed.RESET, Deed.CLOSE)) {
            try (GatewayFixture rig = new GatewayFixture(3)) {
                rig.all(RetryPolicy.TWO);
                rig.nodes.forEach(n -> n.always("/assign", Told.of(deed)));
                long from = System.nanoTime();
                assertEquals(502, rig.caller().call("POST", "/assign").status, deed.toString());
                assertTrue(System.nanoTime() - from < 2_000_000_000L, "long before its timeout");
                assertEquals(
                        1, rig.nodes.stream().mapToInt(TestBackend::arrived).sum());
            }
        }
    }

    @Test
    void onProofThatItNeverRanAnAssignGoesElsewhereAndRunsOnce() throws IOException {
        for (Deed deed : List.of(Deed.REFUSE, Deed.GO_AWAY_BELOW)) {
            try (GatewayFixture rig = new GatewayFixture(2)) {
                LoadClient c = rig.caller();
                c.call("GET", "/quote"); // so that there are connections
                rig.nodes.forEach(n -> n.always("/assign", Told.of(Deed.ANSWER)));
                for (int i = 0; i < 10; i++) {
                    rig.nodes.get(0).always("/assign", Told.of(deed));
                    assertEquals(200, c.call("POST", "/assign", "x-mark", "m" + i).status, deed.toString());
                    assertEquals(1, rig.marked("m" + i));
                }
                assertEquals(10, rig.nodes.get(1).ran("/assign"));
                assertEquals(0, rig.nodes.get(0).ran("/assign"));
            }
        }
    }

    @Test
    void aHostThatIsNotThereIsNoRunAndAQuoteAndAnAssignGoElsewhere() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(2)) {
            rig.nodes.get(0).close();
            LoadClient c = rig.caller();
            for (int i = 0; i < 20; i++) {
                assertEquals(200, c.call("POST", i % 2 == 0 ? "/assign" : "/quote").status);
            }
            assertEquals(10, rig.nodes.get(1).ran("/assign"));
        }
    }

    @Test
    void aQuoteRunsAgainElsewhereAndIsAnsweredOnce() throws IOException {
        for (Deed deed : List.of(Deed.RESET, Deed.DIE, Deed.ERROR, Deed.CLOSE, Deed.HANG)) {
            try (GatewayFixture rig = new GatewayFixture(2)) {
                rig.all(RetryPolicy.ONE);
                rig.nodes.get(0).always("/", Told.of(deed));
                LoadClient c = rig.caller();
                for (int i = 0; i < 6; i++) {
                    int s = c.begin("POST", "/quote", false);
                    c.body(s, 700, true);
                    LoadClient.Answer a = c.await(s);
                    assertEquals(200, a.status, deed.toString());
                    assertEquals(2, a.bytes);
                }
                assertEquals(6, rig.nodes.get(1).ran("/quote"));
                assertEquals(
                        0,
                        (rig.nodes.get(0).bodyBytes("/quote") + rig.nodes.get(1).bodyBytes("/quote")) % 700);
            }
        }
    }

    @Test
    void withoutOrdersToTryAgainAQuoteThatFailsIsAnsweredAtOnce() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(2)) {
            rig.nodes.forEach(n -> n.always("/", Told.of(Deed.RESET)));
            assertEquals(502, rig.caller().call("GET", "/quote").status);
            rig.nodes.forEach(n -> n.always("/", Told.of(Deed.ERROR)));
            assertEquals(500, rig.caller().call("GET", "/quote").status);
        }
    }

    @Test
    void aBookGoesAgainWithItsMarkInsideItsZoneAlone() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(4)) {
            rig.all(RetryPolicy.ONE);
            rig.nodes.forEach(n -> n.always("/book", Told.of(Deed.ANSWER)));
            rig.nodes.get(0).always("/book", Told.of(Deed.DIE)); // zone a, as is node 2
            LoadClient c = rig.caller();
            int again = 0;
            for (int i = 0; i < 30; i++) {
                String word = "b" + i;
                assertEquals(200, c.call("POST", "/book", "x-mark", word).status);
                if (rig.nodes.get(0).marked(word) == 1) {
                    again++;
                    assertEquals(1, rig.nodes.get(2).marked(word));
                }
                assertTrue(rig.nodes.get(1).marked(word) + rig.nodes.get(3).marked(word) <= 1);
            }
            assertTrue(again > 0);
            rig.nodes.forEach(n -> n.always("/book", Told.of(Deed.DIE)));
            assertEquals(502, c.call("POST", "/book").status); // without a mark it has one try
        }
    }

    @Test
    void aBodyPastWhatIsKeptHasOneTry() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(2, "body kept=\"1KiB\"")) {
            rig.all(RetryPolicy.ONE);
            rig.nodes.forEach(n -> n.always("/", Told.of(Deed.RESET)));
            LoadClient c = rig.caller();
            int s = c.begin("POST", "/quote", false);
            c.body(s, 5000, true);
            assertEquals(502, c.await(s).status);
            assertEquals(1, rig.nodes.stream().mapToInt(TestBackend::arrived).sum());
        }
    }

    @Test
    void anAnswerThatBreaksOffIsResetAndNeverGluedToAnother() throws IOException {
        for (Deed deed : List.of(Deed.RESET_AFTER_HEAD, Deed.RESET_IN_BODY, Deed.DIE_IN_BODY)) {
            try (GatewayFixture rig = new GatewayFixture(2)) {
                rig.all(RetryPolicy.TWO);
                rig.nodes.forEach(n -> n.always("/", Told.of(deed).bytes(1000)));
                LoadClient.Answer a = rig.caller().call("GET", "/quote");
                assertTrue(a.reset >= 0, deed.toString());
                assertEquals(1, rig.ran("/quote"));
            }
        }
    }

    @Test
    void aHostThatStopsInItsAnswerIsEndedAtABoundAndATrickleIsNot() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1, "clients stall=\"800ms\"")) {
            rig.nodes
                    .get(0)
                    .next(
                            Told.of(Deed.HANG_IN_BODY).bytes(1000),
                            Told.of(Deed.TRICKLE).bytes(80));
            LoadClient c = rig.caller();
            LoadClient.Answer stopped = c.call("GET", "/quote");
            assertTrue(stopped.reset >= 0 && stopped.bytes == 500);
            assertTrue(rig.logged.toString().contains("host s-0 broke off in its answer to quote: timed_out"));
            LoadClient.Answer trickled = c.call("GET", "/quote"); // 1.6 s in all
            assertTrue(trickled.ended && trickled.bytes == 80);
        }
    }

    @Test
    void aRetryStormStaysWithinTheBudget() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(4, "tries budget=\"20%\" over=\"60s\" least=5\navoid after=0")) {
            rig.all(RetryPolicy.TWO);
            rig.nodes.forEach(n -> n.always("/", Told.of(Deed.ERROR)));
            LoadClient c = rig.caller();
            for (int i = 0; i < 500; i++) {
                assertEquals(500, c.call("GET", "/quote").status);
            }
            int arrived = rig.nodes.stream().mapToInt(TestBackend::arrived).sum();
            assertTrue(arrived > 590 && arrived <= 600, "tries: " + arrived);
        }
    }

    // ---- tables, levels, the steward

    @Test
    void whereNothingCanBePickedTheAnswerIsAtOnce() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(2)) {
            rig.ejected("s-0", "s-1");
            assertEquals(503, rig.caller().call("GET", "/quote").status);
            assertTrue(rig.logged.toString().contains("no host can be picked for quote"));
            rig.table(new int[0], 1, RetryPolicy.ONE);
            assertEquals(503, rig.caller().call("GET", "/quote").status);
        }
    }

    @Test
    void aLevelTurnsAwayItsShareAtOnce() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(2)) {
            rig.table(new int[] {0, 1}, 0.5, RetryPolicy.NONE);
            LoadClient c = rig.caller();
            int limited = 0;
            for (int i = 0; i < 200; i++) {
                limited += c.call("GET", "/quote").status == 429 ? 1 : 0;
            }
            assertEquals(100, limited, 40);
        }
    }

    @Test
    void aHostThatDrainsFinishesWhatItRunsAndGetsNothingNew() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(2)) {
            rig.nodes.forEach(n -> n.always("/assign", Told.of(Deed.ANSWER).after(400)));
            LoadClient c = rig.caller();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                streams.add(c.send("POST", "/assign"));
            }
            c.until(() -> rig.ran("/assign") == 20, "all are at nodes");
            int before = rig.nodes.get(0).ran("/assign");
            rig.ejected("s-0");
            for (int i = 0; i < 10; i++) {
                assertEquals(200, c.call("GET", "/quote").status);
            }
            streams.forEach(s -> assertEquals(200, c.await(s).status));
            assertEquals(before, rig.nodes.get(0).ran("/assign"));
            assertEquals(0, rig.nodes.get(0).ran("/quote"));
            c.until(() -> rig.nodes.get(0).connections() == 0, "its connections are closed");
        }
    }

    @Test
    void itReportsWhatItMetAndWasAsked() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            LoadClient c = rig.caller();
            for (int i = 0; i < 7; i++) {
                c.call("GET", "/quote");
            }
            rig.nodes.get(0).always("/", Told.of(Deed.RESET));
            c.call("POST", "/assign");
            LoadClient.awaiting(
                    this,
                    () -> {
                        rig.exchange.drainTo(rig);
                        return List.copyOf(rig.heard).stream()
                                        .filter(a -> a instanceof InboundMessage.LoadReport)
                                        .mapToInt(a -> ((InboundMessage.LoadReport) a).requests())
                                        .sum()
                                == 8;
                    },
                    "all tries are reported");
            List<InboundMessage> heard = List.copyOf(rig.heard);
            assertEquals(
                    1,
                    heard.stream()
                            .filter(a -> a instanceof InboundMessage.LoadReport)
                            .mapToInt(a -> ((InboundMessage.LoadReport) a).failed())
                            .sum());
            assertEquals(
                    7,
                    heard.stream()
                            .filter(a -> a instanceof InboundMessage.RequestRateReport u && u.operation() == 0)
                            .mapToInt(a -> ((InboundMessage.RequestRateReport) a).requests())
                            .sum());
        }
    }

    // ---- drain

    @Test
    void aDrainFinishesWhatRunsRefusesWhatComesLaterAndTellsBoth() throws Exception {
        try (GatewayFixture rig = new GatewayFixture(2)) {
            rig.nodes.forEach(n -> {
                n.always(
                        "/quote",
                        Told.of(Deed.ANSWER).after(2000)); // on a busy machine too all of them run at the drain
                n.always("/assign", Told.of(Deed.ANSWER).after(2600));
            });
            LoadClient c = rig.caller(), other = rig.caller();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                streams.add(c.send(i % 2 == 0 ? "GET" : "POST", i % 2 == 0 ? "/quote" : "/assign"));
                other.send("POST", "/assign");
            }
            c.until(() -> rig.ran("/assign") + rig.ran("/quote") == 200, "200 run");
            rig.front.drain();
            rig.front.drain(); // a second signal changes nothing
            c.until(() -> c.goAways().size() >= 2, "the last stream is named");
            assertEquals(Integer.MAX_VALUE, c.goAways().get(0).figure(0));
            assertEquals(199, c.goAways().get(1).figure(0));
            int late = c.send("POST", "/assign", "x-mark", "late");
            rig.front.awaitDrained();
            for (int s : streams) {
                assertEquals(200, c.await(s).status);
            }
            for (int s = 1; s < 200; s += 2) {
                assertEquals(200, other.await(s).status);
            }
            assertEquals(0, rig.marked("late")); // the GOAWAY has said so; it is not answered besides
            assertEquals(0, c.answer(late).status);
            assertTrue(rig.logged.toString().contains("has drained: 200 finished"), rig.logged.toString());
        }
    }

    /** Its reading is slow, or its way: it sends by what it knew for longer than any span that could be fixed beforehand. */
    @Test
    void aClientThatHasNotReadOfTheDrainIsRefusedNothing() throws Exception {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            LoadClient c = rig.caller().holdingPings();
            assertEquals(200, c.call("GET", "/quote").status);
            c.until(() -> rig.front.runningNow() == 0, "nothing runs");
            rig.front.drain();
            c.until(() -> c.heldPings() == 1, "it is asked");
            long announced = System.nanoTime();
            while (System.nanoTime() - announced < 600_000_000L) {
                Thread.onSpinWait(); // three times the least span
            }
            assertEquals(200, c.call("POST", "/assign").status);
            assertEquals(1, c.goAways().size());
            c.answerPings();
            rig.front.awaitDrained();
            assertTrue(rig.logged.toString().contains("1 finished, 0 refused, 0 broken off"), rig.logged.toString());
        }
    }

    @Test
    void aDrainEndsAtItsBoundAndSaysWhatItBrokeOff() throws Exception {
        try (GatewayFixture rig = new GatewayFixture(1, "drain \"1s\"")) {
            rig.nodes.get(0).always("/", Told.of(Deed.HANG));
            LoadClient c = rig.caller();
            c.send("GET", "/quote");
            c.until(() -> rig.ran("/quote") == 1, "it hangs");
            rig.front.drain();
            rig.front.awaitDrained();
            assertTrue(rig.logged.toString().contains("1 broken off after 1000 ms"), rig.logged.toString());
        }
    }

    @Test
    void aHostThatHangsIsAnsweredForAtTheTimeoutAndNotLater() throws IOException {
        try (GatewayFixture rig = new GatewayFixture(1)) {
            rig.nodes.get(0).always("/", Told.of(Deed.HANG));
            long from = System.nanoTime();
            LoadClient.Answer a = rig.caller().call("POST", "/assign");
            assertEquals(504, a.status);
            double ms = (System.nanoTime() - from) / 1e6;
            assertTrue(ms > 3900 && ms < 6000, ms + " ms for a timeout of 4 s");
            assertNotNull(a.fields);
        }
    }
}
