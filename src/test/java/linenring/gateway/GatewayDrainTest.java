package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the gateway's graceful shutdown (RFC 9113, 6.8). */
@Timeout(60)
class GatewayDrainTest {
    /**
     * SIGTERM arrives while 200 requests are active. All of them get a response, and a stream above the last stream of the
     * final GOAWAY gets none.
     */
    @Test
    void finishesActiveRequestsAndRefusesLaterOnes() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends().forEach(backend -> {
                backend.onPath(
                        "/quote",
                        Reaction.of(Behaviour.ANSWER)
                                .withDelayMs(2000)); // keeps all requests active until the drain begins
                backend.onPath("/assign", Reaction.of(Behaviour.ANSWER).withDelayMs(2600));
            });
            TestClient client = fixture.connect();
            TestClient other = fixture.connect();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                streams.add(client.send(i % 2 == 0 ? "GET" : "POST", i % 2 == 0 ? "/quote" : "/assign"));
                other.send("POST", "/assign");
            }
            client.await(
                    () -> fixture.executions("/assign") + fixture.executions("/quote") == 200,
                    "the backends execute 200 requests");
            fixture.gateway().drain();
            fixture.gateway().drain(); // a second SIGTERM has no effect
            client.await(() -> client.goAways().size() >= 2, "the final GOAWAY has arrived");
            assertEquals(Integer.MAX_VALUE, client.goAways().get(0).readUint31(0));
            assertEquals(199, client.goAways().get(1).readUint31(0));
            int lateStream = client.send("POST", "/assign", "x-mark", "late");
            fixture.gateway().awaitDrained();
            for (int stream : streams) {
                assertEquals(200, client.await(stream).status());
            }
            for (int stream = 1; stream < 200; stream += 2) {
                assertEquals(200, other.await(stream).status());
            }
            assertEquals(0, fixture.executionsOfKey("late")); // the GOAWAY is the only reply to the late stream
            assertEquals(0, client.response(lateStream).status());
            assertTrue(fixture.log().contains("graceful shutdown completed; requests finished: 200"), fixture.log());
        }
    }

    /** A slow client or network delays the first GOAWAY beyond any fixed waiting time, and the client still sends requests. */
    @Test
    void refusesNothingWhileClientHasNotReadOfDrain() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            TestClient client = fixture.connect().delayPingAcknowledgements();
            assertEquals(200, client.call("GET", "/quote").status());
            fixture.awaitIdle();
            fixture.gateway().drain();
            client.await(() -> client.delayedPingCount() == 1, "the client has received the PING");
            long announcedNanos = System.nanoTime();
            while (System.nanoTime() - announcedNanos < 600_000_000L) {
                Thread.onSpinWait(); // three times the minimum time between the two GOAWAY frames
            }
            assertEquals(200, client.call("POST", "/assign").status());
            assertEquals(1, client.goAways().size());
            client.acknowledgePings();
            fixture.gateway().awaitDrained();
            assertTrue(fixture.log().contains("requests finished: 1, refused: 0, aborted: 0"), fixture.log());
        }
    }

    /** A host never responds: the drain ends at its time limit, and the log has the number of aborted requests. */
    @Test
    void endsAtLimitAndLogsBrokenOffRequests() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1, "drain \"1s\"")) {
            fixture.backends().get(0).onPath("/", Reaction.of(Behaviour.HANG));
            TestClient client = fixture.connect();
            client.send("GET", "/quote");
            client.await(() -> fixture.executions("/quote") == 1, "the backend executes the request");
            fixture.gateway().drain();
            fixture.gateway().awaitDrained();
            assertTrue(fixture.log().contains("aborted: 1 at the limit of 1000 ms"), fixture.log());
        }
    }
}
