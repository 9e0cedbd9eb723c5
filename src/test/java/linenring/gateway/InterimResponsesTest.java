package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Behaviour;
import linenring.testserver.Frame;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http2.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Hosts send interim responses (RFC 9110, 15.2) to requests of a client that reads nothing for a while, so that the write of the
 * interim response is still in progress when the final response is due. Guards against requests without a final response: Jetty
 * rejects the second of two concurrent writes on a stream, and the gateway took that for a client that has left.
 */
@Timeout(60)
class InterimResponsesTest {
    private static final int REQUESTS = 20;
    private static final int WINDOW_BYTES = 64 << 20;
    private static final int LARGE_BODY_BYTES = 24 << 20; // more than the socket buffers hold
    private static final long UNCHANGED_MS = 300;

    /** Connects a client whose windows exceed all responses, and fills the socket buffers towards it. */
    private static TestClient connectPausedClient(GatewayFixture fixture) throws Exception {
        TestBackend backend = fixture.backends().get(0);
        backend.onPath("/quote/large", Reaction.of(Behaviour.ANSWER).withBodyBytes(LARGE_BODY_BYTES));
        TestClient client = fixture.connect(Frame.INITIAL_WINDOW_SIZE, WINDOW_BYTES);
        client.frames().sendWindowUpdate(0, WINDOW_BYTES);
        assertEquals(200, client.call("GET", "/quote").status());
        client.pauseReading().stopWindowUpdates().send("GET", "/quote/large");
        long sentBytes = -1;
        while (sentBytes < backend.sentBytes()) {
            sentBytes = backend.sentBytes();
            TimeUnit.MILLISECONDS.sleep(UNCHANGED_MS);
        }
        assertTrue(sentBytes > 0 && sentBytes < LARGE_BODY_BYTES, "the gateway cannot write, after " + sentBytes);
        return client;
    }

    private static List<Integer> sendRequests(GatewayFixture fixture, TestClient client) throws IOException {
        List<Integer> streams = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            streams.add(client.send("POST", "/assign"));
        }
        TestClient.await(client, () -> fixture.executions("/assign") == REQUESTS, "the host executes all requests");
        return streams;
    }

    @Test
    void forwardsFinalResponseAfterInterimResponseIsWritten() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.EARLY_HINTS_AND_TRAILERS));
            TestClient client = connectPausedClient(fixture);
            List<Integer> streams = sendRequests(fixture, client);
            client.resumeReading();
            for (int stream : streams) {
                TestClient.Response response = client.await(stream);
                assertEquals(200, response.status());
                assertTrue(response.isComplete());
                assertEquals(List.of(103), response.interimStatuses());
                assertEquals("7", response.trailers().get("x-sum"));
            }
            fixture.awaitIdle();
            assertEquals(REQUESTS, fixture.executions("/assign"));
            assertTrue(fixture.gateway().totals().contains("assign " + REQUESTS + " succeeded"));
        }
    }

    /** The host sends two interim responses and then nothing: the gateway's own 504 waits for both of them. */
    @Test
    void sendsOwnResponseAfterInterimResponsesAreWritten() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.sendTableOfAllHosts(RetryPolicy.NONE);
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG_AFTER_EARLY_HINTS));
            TestClient client = connectPausedClient(fixture);
            List<Integer> streams = sendRequests(fixture, client);
            TestClient.await(
                    client,
                    () -> fixture.gateway().totals().contains(REQUESTS + " timed out"),
                    "all requests time out");
            client.resumeReading();
            for (int stream : streams) {
                assertEquals(504, client.await(stream).status());
                assertEquals(List.of(103, 103), client.response(stream).interimStatuses());
            }
            fixture.awaitIdle();
        }
    }

    /** A final response that waits for an interim one counts as a stall of the client once the client's time is up. */
    @Test
    void endsRequestWhoseClientReadsNeitherResponse() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients stall=\"1s\"")) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.EARLY_HINTS_AND_TRAILERS));
            TestClient client = connectPausedClient(fixture);
            List<Integer> streams = sendRequests(fixture, client);
            fixture.awaitIdle();
            client.resumeReading();
            for (int stream : streams) {
                TestClient.Response response = client.await(stream);
                assertFalse(response.isComplete());
                assertEquals(ErrorCode.ENHANCE_YOUR_CALM_ERROR.code, response.resetCode());
            }
            assertEquals(200, client.call("GET", "/quote").status());
        }
    }
}
