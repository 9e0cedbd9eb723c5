package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients stop half way through uploads and hold what other requests need. Guards against other clients that are rejected, or wait
 * for a host, until the uploads time out after 4 s.
 */
@Timeout(60)
class StoppedUploadsTest {
    private static final int UPLOADS = 2;
    private static final long PAUSE_MS = 1500;

    private static TestClient stopWithinUploads(GatewayFixture fixture) throws IOException {
        fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
        TestClient client = fixture.connect();
        for (int i = 0; i < UPLOADS; i++) {
            client.sendData(client.sendHeaders("POST", "/assign", false), 1000, false);
        }
        client.await(() -> fixture.executions("/assign") == UPLOADS, "the host has received both requests");
        return client;
    }

    private static void assertUploadsAnswered408(TestClient client) {
        for (int i = 0; i < UPLOADS; i++) {
            assertEquals(408, client.await(1 + 2 * i).status());
        }
    }

    @Test
    void givesStreamsOfHostToOtherClients() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "hosts connections=1 streams=2")) {
            TestClient client = stopWithinUploads(fixture);
            assertEquals(200, fixture.connect().call("GET", "/quote").status());
            assertUploadsAnswered408(client);
            fixture.awaitIdle();
        }
    }

    @Test
    void givesCapacityToOtherClients() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1, "clients running=2")) {
            TestClient client = stopWithinUploads(fixture);
            TestClient other = fixture.connect();
            assertEquals(503, other.call("GET", "/quote").status());
            assertUploadsAnswered408(client);
            assertEquals(200, other.call("GET", "/quote").status());
        }
    }

    /** Without other requests that lack capacity, a client may pause within a body. */
    @Test
    void toleratesPauseWhileCapacityIsLeft() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            TestClient client = stopWithinUploads(fixture);
            fixture.backends().get(0).onPath("/book", Reaction.of(Behaviour.ANSWER));
            int upload = client.sendHeaders("POST", "/book", false);
            client.sendData(upload, 1000, false);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            client.sendData(upload, 1000, true);
            assertEquals(200, client.await(upload).status());
            assertFalse(client.response(1).hasEnded());
        }
    }
}
