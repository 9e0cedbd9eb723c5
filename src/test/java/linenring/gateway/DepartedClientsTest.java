package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import linenring.testserver.Behaviour;
import linenring.testserver.FrameConnection;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients close their connections while their requests wait for a stream to a host. Guards against waiting requests that are sent
 * to the host afterwards: each request that ended gave its stream to the next one of the same client.
 */
@Timeout(60)
class DepartedClientsTest {
    private static final int REQUESTS = 50;
    private static final long TIME_TO_BE_SENT_MS = 500;

    /** Starts a gateway whose only host accepts one request at a time. */
    private static GatewayFixture fixtureWithOneStream() throws IOException {
        GatewayFixture fixture = new GatewayFixture(1, "hosts connections=1 streams=1");
        fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
        return fixture;
    }

    private static Socket sendRequests(GatewayFixture fixture) throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), fixture.gateway().port());
        FrameConnection frames = new FrameConnection(socket);
        frames.sendBytes(FrameConnection.preface());
        frames.sendSettings();
        for (int i = 0; i < REQUESTS; i++) {
            frames.sendHeaders(1 + 2 * i, FrameConnection.requestHead("POST", "/assign", HttpFields.EMPTY), true);
        }
        return socket;
    }

    private static void assertExecutions(GatewayFixture fixture, int expected) throws Exception {
        fixture.awaitIdle();
        TimeUnit.MILLISECONDS.sleep(TIME_TO_BE_SENT_MS);
        assertEquals(expected, fixture.executions("/assign"));
    }

    /** The client closes its connection in order, or resets it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void sendsNoWaitingRequestAfterClientHasLeft(boolean isReset) throws Exception {
        try (GatewayFixture fixture = fixtureWithOneStream()) {
            Socket socket = sendRequests(fixture);
            TestClient.await(
                    this,
                    () -> fixture.gateway().activeRequests() == REQUESTS && fixture.executions("/assign") == 1,
                    "one request runs and the others wait");
            if (isReset) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
            assertExecutions(fixture, 1);
        }
    }

    /**
     * The client ends its connection right after its requests, so that the gateway reads them when the client has left already.
     * (A socket that is closed with unread data is reset, and the gateway would not read all requests.)
     */
    @Test
    void sendsNoWaitingRequestOfClientThatLeftBeforeItWasRead() throws Exception {
        try (GatewayFixture fixture = fixtureWithOneStream()) {
            assertEquals(200, fixture.connect().call("GET", "/quote").status());
            try (Socket socket = sendRequests(fixture)) {
                socket.shutdownOutput();
                TestClient.await(
                        this,
                        () -> fixture.gateway().totals().contains(REQUESTS + " client gone"),
                        "all requests ended");
                fixture.awaitIdle();
                TimeUnit.MILLISECONDS.sleep(TIME_TO_BE_SENT_MS);
                assertTrue(fixture.executions("/assign") <= 1, "executions: " + fixture.executions("/assign"));
            }
        }
    }

    /** The gateway ends the connection of a client that violates the protocol. */
    @Test
    void sendsNoWaitingRequestOfClientWhoseConnectionTheGatewayEnds() throws Exception {
        try (GatewayFixture fixture = fixtureWithOneStream()) {
            try (Socket socket = sendRequests(fixture)) {
                TestClient.await(
                        this,
                        () -> fixture.gateway().activeRequests() == REQUESTS && fixture.executions("/assign") == 1,
                        "one request runs and the others wait");
                new FrameConnection(socket).sendWindowUpdate(0, 0);
                assertExecutions(fixture, 1);
            }
        }
    }

    /** The waiting requests of a client that stays are not affected when another client leaves. */
    @Test
    void sendsWaitingRequestsOfOtherClients() throws Exception {
        try (GatewayFixture fixture = fixtureWithOneStream()) {
            Socket socket = sendRequests(fixture);
            TestClient.await(
                    this, () -> fixture.gateway().activeRequests() == REQUESTS, "the first client's requests wait");
            TestClient other = fixture.connect();
            int waiting = other.send("GET", "/quote");
            TestClient.await(
                    this, () -> fixture.gateway().activeRequests() == REQUESTS + 1, "the other client's request waits");
            socket.close();
            assertEquals(200, other.await(waiting).status());
            assertExecutions(fixture, 1);
        }
    }

    /**
     * A client disconnects while its requests run, reconnects and repeats them with the same idempotency keys. Guards against a second execution in
     * another zone, whose hosts do not know the keys of the first one.
     */
    @Test
    void sendsRepeatedRequestsToTheZoneThatMayHaveExecutedThem() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(2)) {
            fixture.backends().forEach(backend -> backend.onPath("/book", Reaction.of(Behaviour.HANG)));
            TestClient first = fixture.connect();
            for (int i = 0; i < REQUESTS; i++) {
                first.send("POST", "/book", "x-mark", "key-" + i);
            }
            TestClient.await(this, () -> fixture.executions("/book") == REQUESTS, "all requests run");
            first.close();
            TestClient second = fixture.connect();
            for (int i = 0; i < REQUESTS; i++) {
                second.send("POST", "/book", "x-mark", "key-" + i);
            }
            TestClient.await(this, () -> fixture.executions("/book") == 2 * REQUESTS, "all requests run again");
            for (int i = 0; i < REQUESTS; i++) {
                String key = "key-" + i;
                int inFirstZone = fixture.backends().get(0).executionsOfKey(key);
                assertTrue(
                        inFirstZone == 0 || inFirstZone == 2,
                        key + " ran " + inFirstZone + " times in one zone of two");
            }
        }
    }
}
