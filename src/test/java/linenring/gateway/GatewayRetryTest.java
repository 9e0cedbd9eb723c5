package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http2.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how many times a request is executed when its hosts fail or its client resets it. */
@Timeout(60)
class GatewayRetryTest {

    /**
     * A client resets its stream without knowing whether the request was executed. The gateway must not send the request a
     * second time, regardless of when the reset arrives.
     */
    @Test
    void executesSideEffectingRequestAtMostOnceWhenClientResets() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(3)) {
            fixture.sendTableOfAllHosts(RetryPolicy.TWO);
            fixture.backends()
                    .forEach(backend -> backend.onPath(
                            "/assign", Reaction.of(Behaviour.ANSWER).withDelayMs(100)));
            TestClient client = fixture.connect();
            // resets requests before their bodies, immediately after their bodies, and during their execution
            for (int i = 0; i < 20; i++) {
                int withoutBody = client.sendHeaders("POST", "/assign", false, "x-mark", "held" + i);
                client.frames().sendReset(withoutBody, ErrorCode.CANCEL_STREAM_ERROR.code);
                int resetAtOnce = client.send("POST", "/assign", "x-mark", "quick" + i);
                client.frames().sendReset(resetAtOnce, ErrorCode.CANCEL_STREAM_ERROR.code);
                String key = "runs" + i;
                int executing = client.send("POST", "/assign", "x-mark", key);
                client.await(() -> fixture.executionsOfKey(key) == 1, "a backend executes the request");
                client.frames().sendReset(executing, ErrorCode.CANCEL_STREAM_ERROR.code);
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
     * The host dies during the request, so it is unknown whether the request was executed. The client gets 502 at once,
     * and no other host gets the request.
     */
    @Test
    void answersAtOnceAndNeverRetriesSideEffectingRequestWhenHostDies() throws IOException {
        for (Behaviour behaviour : List.of(Behaviour.DIE, Behaviour.RESET, Behaviour.CLOSE)) {
            try (GatewayFixture fixture = new GatewayFixture(3)) {
                fixture.sendTableOfAllHosts(RetryPolicy.TWO);
                fixture.backends().forEach(backend -> backend.onPath("/assign", Reaction.of(behaviour)));
                long startNanos = System.nanoTime();
                assertEquals(502, fixture.connect().call("POST", "/assign").status(), behaviour.toString());
                assertTrue(
                        System.nanoTime() - startNanos < 2_000_000_000L,
                        "the 502 arrives long before the timeout of 4 s");
                assertEquals(
                        1,
                        fixture.backends().stream()
                                .mapToInt(TestBackend::receivedRequests)
                                .sum());
            }
        }
    }

    /**
     * The host refuses the stream, or sends a GOAWAY below it. Either proves that the request was not executed, so another
     * host may execute it.
     */
    @Test
    void retriesSideEffectingRequestOnceOnProofThatItWasNotExecuted() throws IOException {
        for (Behaviour behaviour : List.of(Behaviour.REFUSE, Behaviour.GO_AWAY_BELOW)) {
            try (GatewayFixture fixture = new GatewayFixture(2)) {
                TestClient client = fixture.connect();
                client.call("GET", "/quote"); // opens connections to the hosts
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
     * The process of a host has ended and its port refuses connections. The request was not sent, so even a side-effecting
     * request may be sent to another host.
     */
    @Test
    void retriesElsewhereWhenHostIsUnreachable() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends().get(0).close();
            TestClient client = fixture.connect();
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200,
                        client.call("POST", i % 2 == 0 ? "/assign" : "/quote").status());
            }
            assertEquals(10, fixture.backends().get(1).executions("/assign"));
        }
    }

    /**
     * A host fails in each possible way. An idempotent request with its body is sent to another host, and the client gets
     * a single, successful response.
     */
    @Test
    void retriesIdempotentRequestElsewhereAndAnswersOnce() throws IOException {
        for (Behaviour behaviour :
                List.of(Behaviour.RESET, Behaviour.DIE, Behaviour.ERROR, Behaviour.CLOSE, Behaviour.HANG)) {
            try (GatewayFixture fixture = new GatewayFixture(2)) {
                fixture.sendTableOfAllHosts(RetryPolicy.ONE);
                fixture.backends().get(0).onPath("/", Reaction.of(behaviour));
                TestClient client = fixture.connect();
                for (int i = 0; i < 6; i++) {
                    int stream = client.sendHeaders("POST", "/quote", false);
                    client.sendData(stream, 700, true);
                    TestClient.Response answer = client.await(stream);
                    assertEquals(200, answer.status(), behaviour.toString());
                    assertEquals(2, answer.bodyBytes());
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

    /** Under the default retry policy, a request that may have been executed is not sent to another host. */
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
     * The host dies during a booking. Hosts of its zone recognise a retry by its idempotency key, whereas hosts of the
     * other zone would execute the booking twice.
     */
    @Test
    void retriesRequestWithIdempotencyKeyOnlyInItsZone() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(4)) {
            fixture.sendTableOfAllHosts(RetryPolicy.ONE);
            fixture.backends().forEach(backend -> backend.onPath("/book", Reaction.of(Behaviour.ANSWER)));
            fixture.backends().get(0).onPath("/book", Reaction.of(Behaviour.DIE)); // backends 0 and 2 are in zone a
            TestClient client = fixture.connect();
            int retried = 0;
            for (int i = 0; i < 30; i++) {
                String key = "b" + i;
                assertEquals(200, client.call("POST", "/book", "x-mark", key).status());
                if (fixture.backends().get(0).executionsOfKey(key) == 1) {
                    retried++;
                    assertEquals(1, fixture.backends().get(2).executionsOfKey(key));
                }
                assertTrue(fixture.backends().get(1).executionsOfKey(key)
                                + fixture.backends().get(3).executionsOfKey(key)
                        <= 1);
            }
            assertTrue(retried > 0);
            fixture.backends().forEach(backend -> backend.onPath("/book", Reaction.of(Behaviour.DIE)));
            assertEquals(502, client.call("POST", "/book").status()); // a request without a key has only one attempt
        }
    }

    /** A body that exceeds the limit of retained bytes cannot be sent again, so the request has only one attempt. */
    @Test
    void doesNotRetryWhenBodyIsLongerThanRetained() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2, "body kept=\"1KiB\"")) {
            fixture.sendTableOfAllHosts(RetryPolicy.ONE);
            fixture.backends().forEach(backend -> backend.onPath("/", Reaction.of(Behaviour.RESET)));
            TestClient client = fixture.connect();
            int stream = client.sendHeaders("POST", "/quote", false);
            client.sendData(stream, 5000, true);
            assertEquals(502, client.await(stream).status());
            assertEquals(
                    1,
                    fixture.backends().stream()
                            .mapToInt(TestBackend::receivedRequests)
                            .sum());
        }
    }

    /**
     * The host fails after its response headers, which the client has already received. A retry would append another
     * response to the first part, so the client's stream is reset instead.
     */
    @Test
    void resetsIncompleteResponseAndNeverJoinsTwo() throws IOException {
        for (Behaviour behaviour :
                List.of(Behaviour.RESET_AFTER_HEAD, Behaviour.RESET_IN_BODY, Behaviour.DIE_IN_BODY)) {
            try (GatewayFixture fixture = new GatewayFixture(2)) {
                fixture.sendTableOfAllHosts(RetryPolicy.TWO);
                fixture.backends()
                        .forEach(backend ->
                                backend.onPath("/", Reaction.of(behaviour).withBodyBytes(1000)));
                TestClient.Response answer = fixture.connect().call("GET", "/quote");
                assertTrue(answer.isReset(), behaviour.toString());
                assertEquals(1, fixture.executions("/quote"));
            }
        }
    }

    /**
     * All hosts fail all requests. Retries must stay within the retry budget, since they would otherwise double the load of
     * hosts that are failing already.
     */
    @Test
    void keepsRetryStormWithinBudget() throws IOException {
        try (GatewayFixture fixture =
                new GatewayFixture(4, "tries budget=\"20%\" over=\"60s\" least=5\navoid after=0")) {
            fixture.sendTableOfAllHosts(RetryPolicy.TWO);
            fixture.backends().forEach(backend -> backend.onPath("/", Reaction.of(Behaviour.ERROR)));
            TestClient client = fixture.connect();
            for (int i = 0; i < 500; i++) {
                assertEquals(500, client.call("GET", "/quote").status());
            }
            int requests = fixture.backends().stream()
                    .mapToInt(TestBackend::receivedRequests)
                    .sum();
            assertTrue(requests > 590 && requests <= 600, "attempts: " + requests);
        }
    }
}
