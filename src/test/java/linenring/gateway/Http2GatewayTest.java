package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import linenring.planner.Commands.RetryPolicy;
import linenring.protocol.InboundMessage;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which requests the gateway forwards and rejects, and which load it reports. */
@Timeout(60)
class Http2GatewayTest {
    @Test
    void forwardsRequestsToAllHostsOfTable() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(3)) {
            TestClient client = fixture.connect();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                streams.add(client.send("GET", "/quote?from=here"));
            }
            streams.forEach(stream -> assertEquals(200, client.await(stream).status()));
            assertEquals(60, fixture.executions("/quote"));
            fixture.backends().forEach(backend -> assertTrue(backend.executions("/quote") > 5));
            assertTrue(fixture.backends().stream().allMatch(backend -> backend.openConnectionCount() == 1));
        }
    }

    @Test
    void answersUnknownRouteAtOnceWithoutHost() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            TestClient client = fixture.connect();
            assertEquals(404, client.call("GET", "/nothing").status());
            assertEquals(404, client.call("DELETE", "/quote").status());
            assertEquals(404, client.call("GET", "/quotes").status());
            assertEquals(200, client.call("GET", "/quote/7").status());
            int upload = client.sendHeaders("POST", "/nothing", false);
            assertEquals(404, client.await(upload).status());
            assertEquals(1, fixture.backends().get(0).receivedRequests());
        }
    }

    @Test
    void forwardsBodiesHeadersTrailersAndEarlyHints() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            TestBackend backend = fixture.backends().get(0);
            TestClient client = fixture.connect();
            backend.onNext(Reaction.of(Behaviour.ANSWER).withBodyBytes(1_000_000));
            assertEquals(1_000_000, client.call("GET", "/quote").bodyBytes());
            backend.onNext(Reaction.of(Behaviour.ANSWER).withBodyBytes(0));
            assertEquals(0, client.call("GET", "/quote").bodyBytes());
            backend.onNext(Reaction.of(Behaviour.EARLY_HINTS_AND_TRAILERS));
            TestClient.Response responseWithHints = client.call("GET", "/quote");
            assertEquals(List.of(103), responseWithHints.interimStatuses());
            assertEquals("7", responseWithHints.trailers().get("x-sum"));
            backend.onNext(Reaction.of(Behaviour.ANSWER).withBodyBytes(0));
            assertEquals(200, client.call("HEAD", "/quote").status());
            int upload = client.sendHeaders("POST", "/quote", false, "content-length", "50000");
            for (int i = 0; i < 5; i++) {
                client.sendData(upload, 10_000, i == 4);
            }
            assertEquals(200, client.await(upload).status());
            assertEquals(50_000, backend.bodyBytes("/quote"));
            int requestWithTrailers = client.sendHeaders("POST", "/quote", false);
            client.sendData(requestWithTrailers, 10, false);
            client.frames()
                    .sendHeaders(
                            requestWithTrailers,
                            new MetaData(HttpVersion.HTTP_2, HttpFields.build().put("x-last", "9")),
                            true);
            assertEquals(200, client.await(requestWithTrailers).status());
            assertEquals("9", backend.lastTrailers().get("x-last"));
            backend.onNext(Reaction.of(Behaviour.LIE_ABOUT_LENGTH).withBodyBytes(100));
            TestClient.Response tooShort = client.call("GET", "/quote");
            assertTrue(tooShort.isReset(), "a body shorter than its Content-Length is not forwarded as complete");
        }
    }

    /** A client sends a body longer than its Content-Length (RFC 9113, 8.1.1): only that stream is reset. */
    @Test
    void resetsStreamOfWrongContentLengthAndServesOthers() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            TestClient client = fixture.connect();
            int wrongLength = client.sendHeaders("POST", "/assign", false, "content-length", "10");
            client.sendData(wrongLength, 20, true);
            assertTrue(client.await(wrongLength).isReset()
                    || client.response(wrongLength).status() >= 400);
            assertEquals(200, client.call("GET", "/quote").status());
        }
    }

    /**
     * A response that stalls in the middle is ended, since its request would otherwise use capacity for ever. A response
     * that arrives byte by byte and takes longer in total is forwarded to its end.
     */
    @Test
    void endsStalledAnswerAtLimitButNotSlowOne() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients stall=\"800ms\"")) {
            fixture.backends()
                    .get(0)
                    .onNext(
                            Reaction.of(Behaviour.HANG_IN_BODY).withBodyBytes(1000),
                            Reaction.of(Behaviour.TRICKLE).withBodyBytes(80));
            TestClient client = fixture.connect();
            TestClient.Response stalled = client.call("GET", "/quote");
            assertTrue(stalled.isReset() && stalled.bodyBytes() == 500);
            assertTrue(fixture.log()
                    .contains("host s-0 broke off its response to quote, so the client's stream is reset: timed_out"));
            TestClient.Response slow = client.call("GET", "/quote"); // takes 1.6 s in total
            assertTrue(slow.isComplete() && slow.bodyBytes() == 80);
        }
    }

    /**
     * A host accepts a request and never responds: the client gets 504 at the operation's timeout, not before it and not
     * much later.
     */
    @Test
    void answersForHangingHostAtTimeout() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends().get(0).onPath("/", Reaction.of(Behaviour.HANG));
            long startNanos = System.nanoTime();
            TestClient.Response answer = fixture.connect().call("POST", "/assign");
            assertEquals(504, answer.status());
            double elapsedMs = (System.nanoTime() - startNanos) / 1e6;
            assertTrue(
                    elapsedMs > 3900 && elapsedMs < 6000, elapsedMs + " ms until the response, with a timeout of 4 s");
            assertNotNull(answer.fields());
        }
    }

    /** With all hosts ejected, or with an empty table, the client gets 503 at once, since waiting would not help. */
    @Test
    void answersAtOnceWhenNoHostCanBePicked() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.sendEjections("s-0", "s-1");
            assertEquals(503, fixture.connect().call("GET", "/quote").status());
            assertTrue(fixture.log().contains("rejecting a request for quote with 503 because no host can be picked"));
            fixture.sendTable(new int[0], 1, RetryPolicy.ONE);
            assertEquals(503, fixture.connect().call("GET", "/quote").status());
        }
    }

    @Test
    void shedsLoadByAdmissionRatio() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.sendTable(new int[] {0, 1}, 0.5, RetryPolicy.NONE);
            TestClient client = fixture.connect();
            int rateLimited = 0;
            for (int i = 0; i < 200; i++) {
                rateLimited += client.call("GET", "/quote").status() == 429 ? 1 : 0;
            }
            assertEquals(100, rateLimited, 40);
        }
    }

    /**
     * A host is ejected while it executes requests: these requests finish, the host gets no new ones, and its connections
     * are closed afterwards.
     */
    @Test
    void sendsNothingNewToEjectedHostAndLetsItFinish() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends()
                    .forEach(backend -> backend.onPath(
                            "/assign", Reaction.of(Behaviour.ANSWER).withDelayMs(400)));
            TestClient client = fixture.connect();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                streams.add(client.send("POST", "/assign"));
            }
            client.await(() -> fixture.executions("/assign") == 20, "the backends execute all requests");
            int executionsBefore = fixture.backends().get(0).executions("/assign");
            fixture.sendEjections("s-0");
            for (int i = 0; i < 10; i++) {
                assertEquals(200, client.call("GET", "/quote").status());
            }
            streams.forEach(stream -> assertEquals(200, client.await(stream).status()));
            assertEquals(executionsBefore, fixture.backends().get(0).executions("/assign"));
            assertEquals(0, fixture.backends().get(0).executions("/quote"));
            client.await(
                    () -> fixture.backends().get(0).openConnectionCount() == 0,
                    "the connections of the ejected host are closed");
        }
    }

    @Test
    void reportsAttemptsAndRequestRates() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            TestClient client = fixture.connect();
            for (int i = 0; i < 7; i++) {
                client.call("GET", "/quote");
            }
            fixture.backends().get(0).onPath("/", Reaction.of(Behaviour.RESET));
            client.call("POST", "/assign");
            TestClient.await(
                    this,
                    () -> {
                        fixture.processEvents();
                        return sumOfReports(fixture, InboundMessage.LoadReport::requests) == 8;
                    },
                    "the load reports contain all 8 attempts");
            assertEquals(1, sumOfReports(fixture, InboundMessage.LoadReport::failed));
            int quotes = fixture.messages().stream()
                    .filter(InboundMessage.RequestRateReport.class::isInstance)
                    .map(InboundMessage.RequestRateReport.class::cast)
                    .filter(report -> report.operation() == 0)
                    .mapToInt(InboundMessage.RequestRateReport::requests)
                    .sum();
            assertEquals(7, quotes);
        }
    }

    private static int sumOfReports(GatewayFixture fixture, ToIntFunction<InboundMessage.LoadReport> value) {
        return fixture.messages().stream()
                .filter(InboundMessage.LoadReport.class::isInstance)
                .map(InboundMessage.LoadReport.class::cast)
                .mapToInt(value)
                .sum();
    }
}
