package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linenring.testserver.Behaviour;
import linenring.testserver.LoadClient;
import linenring.testserver.Reaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Graceful shutdown of the gateway (RFC 9113, 6.8). */
@Timeout(60)
class GatewayDrainTest {
    /**
     * SIGTERM comes while 200 requests are active: all of them are answered, and a stream above the named last one is
     * not.
     */
    @Test
    void finishesActiveRequestsAndRefusesLaterOnes() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends().forEach(backend -> {
                backend.onPath(
                        "/quote",
                        Reaction.of(Behaviour.ANSWER).after(2000)); // on a busy machine too all are active at the drain
                backend.onPath("/assign", Reaction.of(Behaviour.ANSWER).after(2600));
            });
            LoadClient client = fixture.connect();
            LoadClient other = fixture.connect();
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                streams.add(client.send(i % 2 == 0 ? "GET" : "POST", i % 2 == 0 ? "/quote" : "/assign"));
                other.send("POST", "/assign");
            }
            client.await(
                    () -> fixture.executions("/assign") + fixture.executions("/quote") == 200, "backends execute 200");
            fixture.gateway().drain();
            fixture.gateway().drain(); // a second SIGTERM changes nothing
            client.await(() -> client.goAways().size() >= 2, "the last stream is named");
            assertEquals(Integer.MAX_VALUE, client.goAways().get(0).uint31(0));
            assertEquals(199, client.goAways().get(1).uint31(0));
            int late = client.send("POST", "/assign", "x-mark", "late");
            fixture.gateway().awaitDrained();
            for (int stream : streams) {
                assertEquals(200, client.await(stream).status());
            }
            for (int stream = 1; stream < 200; stream += 2) {
                assertEquals(200, other.await(stream).status());
            }
            assertEquals(0, fixture.executionsOfKey("late")); // the GOAWAY is its only answer
            assertEquals(0, client.answer(late).status());
            assertTrue(fixture.log().contains("has drained: 200 finished"), fixture.log());
        }
    }

    /** The client, or its network, is slow: it sends without knowing for longer than any time that could be fixed. */
    @Test
    void refusesNothingWhileClientHasNotReadOfDrain() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            LoadClient client = fixture.connect().holdPings();
            assertEquals(200, client.call("GET", "/quote").status());
            fixture.awaitIdle();
            fixture.gateway().drain();
            client.await(() -> client.heldPings() == 1, "the PING is there");
            long announced = System.nanoTime();
            while (System.nanoTime() - announced < 600_000_000L) {
                Thread.onSpinWait(); // three times the least announcement
            }
            assertEquals(200, client.call("POST", "/assign").status());
            assertEquals(1, client.goAways().size());
            client.answerPings();
            fixture.gateway().awaitDrained();
            assertTrue(fixture.log().contains("1 finished, 0 refused, 0 broken off"), fixture.log());
        }
    }

    /** A host never answers: the drain does not wait for it past its limit, and the log says what was broken off. */
    @Test
    void endsAtLimitAndLogsWhatBrokeOff() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1, "drain \"1s\"")) {
            fixture.backends().get(0).onPath("/", Reaction.of(Behaviour.HANG));
            LoadClient client = fixture.connect();
            client.send("GET", "/quote");
            client.await(() -> fixture.executions("/quote") == 1, "the backend executes it");
            fixture.gateway().drain();
            fixture.gateway().awaitDrained();
            assertTrue(fixture.log().contains("1 broken off after 1000 ms"), fixture.log());
        }
    }
}
