package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Behaviour;
import linenring.testserver.LoadClient;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How often a request is executed, whatever its hosts and its client do. */
@Timeout(60)
class GatewayRetryTest {
    private static final int CANCEL = 8;

    /**
     * The client gives up and never learns whether its request was executed. Whenever that is, the gateway must not
     * send it a second time.
     */
    @Test
    void executesSideEffectingRequestAtMostOnceWhenClientResets() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(3)) {
            fixture.orderAll(RetryPolicy.TWO);
            fixture.backends()
                    .forEach(backend -> backend.onPath(
                            "/assign", Reaction.of(Behaviour.ANSWER).after(100)));
            LoadClient client = fixture.connect();
            for (int i = 0; i < 20; i++) { // before its body has come, at once, while it is executed
                int held = client.sendHeaders("POST", "/assign", false, "x-mark", "held" + i);
                client.frames().sendReset(held, CANCEL);
                int quick = client.send("POST", "/assign", "x-mark", "quick" + i);
                client.frames().sendReset(quick, CANCEL);
                String key = "runs" + i;
                int runs = client.send("POST", "/assign", "x-mark", key);
                client.await(() -> fixture.executionsOfKey(key) == 1, "a backend executes it");
                client.frames().sendReset(runs, CANCEL);
            }
            assertEquals(200, client.call("POST", "/assign", "x-mark", "last").status());
            fixture.awaitIdle();
            for (int i = 0; i < 20; i++) {
                assertTrue(fixture.executionsOfKey("held" + i) <= 1 && fixture.executionsOfKey("quick" + i) <= 1);
                assertEquals(1, fixture.executionsOfKey("runs" + i));
            }
        }
    }

    /**
     * The host dies with the request: nobody knows whether it was executed. The client gets 502 at once, and no other
     * host gets the request.
     */
    @Test
    void answersAtOnceAndNeverRepeatsSideEffectingRequestWhenHostDies() throws IOException {
        for (Behaviour behaviour : List.of(Behaviour.DIE, Behaviour.RESET, Behaviour.CLOSE)) {
            try (GatewayFixture fixture = new GatewayFixture(3)) {
                fixture.orderAll(RetryPolicy.TWO);
                fixture.backends().forEach(backend -> backend.onPath("/assign", Reaction.of(behaviour)));
                long from = System.nanoTime();
                assertEquals(502, fixture.connect().call("POST", "/assign").status(), behaviour.toString());
                assertTrue(System.nanoTime() - from < 2_000_000_000L, "long before its timeout");
                assertEquals(
                        1,
                        fixture.backends().stream()
                                .mapToInt(TestBackend::requests)
                                .sum());
            }
        }
    }

    /**
     * The host refuses the stream, or leaves it out by a GOAWAY: that proves that nothing was executed, so another host
     * may.
     */
    @Test
    void retriesSideEffectingRequestOnceOnProofThatItWasNotExecuted() throws IOException {
        for (Behaviour behaviour : List.of(Behaviour.REFUSE, Behaviour.GO_AWAY_BELOW)) {
            try (GatewayFixture fixture = new GatewayFixture(2)) {
                LoadClient client = fixture.connect();
                client.call("GET", "/quote"); // so that there are connections
                fixture.backends().forEach(backend -> backend.onPath("/assign", Reaction.of(Behaviour.ANSWER)));
                for (int i = 0; i < 10; i++) {
                    fixture.backends().get(0).onPath("/assign", Reaction.of(behaviour));
                    assertEquals(
                            200,
                            client.call("POST", "/assign", "x-mark", "m" + i).status(),
                            behaviour.toString());
                    assertEquals(1, fixture.executionsOfKey("m" + i));
                }
                assertEquals(10, fixture.backends().get(1).executions("/assign"));
                assertEquals(0, fixture.backends().get(0).executions("/assign"));
            }
        }
    }

    /**
     * The process of a host is gone and nothing listens at its address: nothing was sent, so any request may go
     * elsewhere.
     */
    @Test
    void retriesElsewhereWhenHostIsUnreachable() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends().get(0).close();
            LoadClient client = fixture.connect();
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200,
                        client.call("POST", i % 2 == 0 ? "/assign" : "/quote").status());
            }
            assertEquals(10, fixture.backends().get(1).executions("/assign"));
        }
    }

    /**
     * A host fails in each way that it can. An idempotent request goes to another one, body included, and its client
     * notices nothing.
     */
    @Test
    void retriesIdempotentRequestElsewhereAndAnswersOnce() throws IOException {
        for (Behaviour behaviour :
                List.of(Behaviour.RESET, Behaviour.DIE, Behaviour.ERROR, Behaviour.CLOSE, Behaviour.HANG)) {
            try (GatewayFixture fixture = new GatewayFixture(2)) {
                fixture.orderAll(RetryPolicy.ONE);
                fixture.backends().get(0).onPath("/", Reaction.of(behaviour));
                LoadClient client = fixture.connect();
                for (int i = 0; i < 6; i++) {
                    int stream = client.sendHeaders("POST", "/quote", false);
                    client.sendData(stream, 700, true);
                    LoadClient.Answer answer = client.await(stream);
                    assertEquals(200, answer.status(), behaviour.toString());
                    assertEquals(2, answer.bytes());
                }
                assertEquals(6, fixture.backends().get(1).executions("/quote"));
                assertEquals(
                        0,
                        (fixture.backends().get(0).bodyBytes("/quote")
                                        + fixture.backends().get(1).bodyBytes("/quote"))
                                % 700);
            }
        }
    }

    /** Under the default policy a host that may have executed the request is not followed by another. */
    @Test
    void answersFailureAtOnceWithoutRetryPolicy() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends().forEach(backend -> backend.onPath("/", Reaction.of(Behaviour.RESET)));
            assertEquals(502, fixture.connect().call("GET", "/quote").status());
            fixture.backends().forEach(backend -> backend.onPath("/", Reaction.of(Behaviour.ERROR)));
            assertEquals(500, fixture.connect().call("GET", "/quote").status());
        }
    }

    /**
     * The host dies with a booking. Hosts of its zone recognise the repeat by its key; hosts of the other zone would
     * book twice.
     */
    @Test
    void repeatsRequestWithIdempotencyKeyInItsZoneAlone() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(4)) {
            fixture.orderAll(RetryPolicy.ONE);
            fixture.backends().forEach(backend -> backend.onPath("/book", Reaction.of(Behaviour.ANSWER)));
            fixture.backends().get(0).onPath("/book", Reaction.of(Behaviour.DIE)); // zone a, as is backend 2
            LoadClient client = fixture.connect();
            int repeated = 0;
            for (int i = 0; i < 30; i++) {
                String key = "b" + i;
                assertEquals(200, client.call("POST", "/book", "x-mark", key).status());
                if (fixture.backends().get(0).executionsOfKey(key) == 1) {
                    repeated++;
                    assertEquals(1, fixture.backends().get(2).executionsOfKey(key));
                }
                assertTrue(fixture.backends().get(1).executionsOfKey(key)
                                + fixture.backends().get(3).executionsOfKey(key)
                        <= 1);
            }
            assertTrue(repeated > 0);
            fixture.backends().forEach(backend -> backend.onPath("/book", Reaction.of(Behaviour.DIE)));
            assertEquals(502, client.call("POST", "/book").status()); // without a key it has one attempt
        }
    }

    /** A body longer than what is retained cannot be sent again, so its first attempt is the only one. */
    @Test
    void doesNotRetryWhenBodyIsLongerThanRetained() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2, "body kept=\"1KiB\"")) {
            fixture.orderAll(RetryPolicy.ONE);
            fixture.backends().forEach(backend -> backend.onPath("/", Reaction.of(Behaviour.RESET)));
            LoadClient client = fixture.connect();
            int stream = client.sendHeaders("POST", "/quote", false);
            client.sendData(stream, 5000, true);
            assertEquals(502, client.await(stream).status());
            assertEquals(
                    1,
                    fixture.backends().stream().mapToInt(TestBackend::requests).sum());
        }
    }

    /**
     * The host fails behind the head of its answer, which the client has: another answer would be joined to the first
     * part.
     */
    @Test
    void resetsAnswerThatBreaksOffAndNeverJoinsTwo() throws IOException {
        for (Behaviour behaviour :
                List.of(Behaviour.RESET_AFTER_HEAD, Behaviour.RESET_IN_BODY, Behaviour.DIE_IN_BODY)) {
            try (GatewayFixture fixture = new GatewayFixture(2)) {
                fixture.orderAll(RetryPolicy.TWO);
                fixture.backends()
                        .forEach(backend ->
                                backend.onPath("/", Reaction.of(behaviour).withBytes(1000)));
                LoadClient.Answer answer = fixture.connect().call("GET", "/quote");
                assertTrue(answer.isReset(), behaviour.toString());
                assertEquals(1, fixture.executions("/quote"));
            }
        }
    }

    /**
     * All hosts fail all requests. Retries stay within their budget, or they would double the load under which the
     * hosts fail.
     */
    @Test
    void keepsRetryStormWithinBudget() throws IOException {
        try (GatewayFixture fixture =
                new GatewayFixture(4, "tries budget=\"20%\" over=\"60s\" least=5\navoid after=0")) {
            fixture.orderAll(RetryPolicy.TWO);
            fixture.backends().forEach(backend -> backend.onPath("/", Reaction.of(Behaviour.ERROR)));
            LoadClient client = fixture.connect();
            for (int i = 0; i < 500; i++) {
                assertEquals(500, client.call("GET", "/quote").status());
            }
            int requests =
                    fixture.backends().stream().mapToInt(TestBackend::requests).sum();
            assertTrue(requests > 590 && requests <= 600, "attempts: " + requests);
        }
    }
}
