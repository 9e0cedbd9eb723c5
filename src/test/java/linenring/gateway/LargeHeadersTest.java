package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Behaviour;
import linenring.testserver.Frame;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests headers up to the limit {@code headers}, and headers and trailers that are larger than a peer accepts. They must not
 * close a connection that other requests use.
 */
@Timeout(60)
class LargeHeadersTest {
    private static final int HEADER_LIMIT_BYTES = 16 << 10;
    private static final int OTHER_FIELDS_BYTES = 400;
    private static final int SMALL_LIMIT_BYTES = 4 << 10;
    private static final int SHORT_FIELDS = 440;
    private static final int CLIENTS = 16;
    private static final int REQUESTS_PER_CLIENT = 100;
    private static final long MAX_REQUEST_MEMORY_BYTES = 16 << 20;

    /** Calls with a request in flight on the only connection to the host, and asserts that this request is not affected. */
    private static void assertRequestInFlightIsAnswered(GatewayFixture fixture, Call call) throws IOException {
        fixture.backends()
                .get(0)
                .onPath("/assign", Reaction.of(Behaviour.ANSWER).withDelayMs(1000));
        TestClient other = fixture.connect();
        int inFlight = other.send("POST", "/assign");
        other.await(() -> fixture.executions("/assign") == 1, "a request is in flight");
        call.run();
        assertEquals(200, other.await(inFlight).status());
        assertEquals(200, other.call("GET", "/quote").status());
        assertEquals(1, fixture.backends().get(0).openConnectionCount());
        fixture.awaitIdle();
    }

    private interface Call {
        void run() throws IOException;
    }

    /** Guards against a smaller limit towards hosts than towards clients, 8 KiB: the request was answered 502. */
    @Test
    void forwardsRequestHeadersUpToLimit() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertRequestInFlightIsAnswered(fixture, () -> {
                TestClient client = fixture.connect();
                for (int bytes = 1 << 10; bytes < HEADER_LIMIT_BYTES - OTHER_FIELDS_BYTES; bytes += 1 << 10) {
                    String value = "a".repeat(bytes);
                    assertEquals(
                            200, client.call("GET", "/quote", "cookie", value).status(), bytes + " bytes");
                }
            });
        }
    }

    /** Guards against a limit towards hosts that counts more bytes for each field than the limit towards clients. */
    @Test
    void forwardsOrRefusesManySmallFields() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            assertRequestInFlightIsAnswered(fixture, () -> {
                for (int count = 100; count <= 1600; count += 100) {
                    String[] fields = new String[2 * count];
                    for (int i = 0; i < count; i++) {
                        fields[2 * i] = "f" + i;
                        fields[2 * i + 1] = "v";
                    }
                    TestClient client = fixture.connect();
                    int status = client.call("GET", "/quote", fields).status();
                    assertTrue(status == 200 || status == 431 || client.isClosed(), count + " fields: " + status);
                }
            });
        }
    }

    @Test
    void forwardsResponseHeadersUpToLimit() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends()
                    .get(0)
                    .onPath(
                            "/quote/large",
                            Reaction.of(Behaviour.ANSWER).withFillFieldBytes(HEADER_LIMIT_BYTES - OTHER_FIELDS_BYTES));
            assertRequestInFlightIsAnswered(fixture, () -> {
                TestClient.Response response = fixture.connect().call("GET", "/quote/large");
                assertEquals(200, response.status());
                assertEquals(
                        HEADER_LIMIT_BYTES - OTHER_FIELDS_BYTES,
                        response.fields().get("x-fill").length());
            });
        }
    }

    /** A host accepts fewer bytes than the request has: another host serves it, or else it alone is answered 502. */
    @Test
    void sendsNoRequestToHostThatAcceptsFewerBytes() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(2, "tries least=40")) {
            fixture.backends().get(0).withMaxHeaderListBytes(SMALL_LIMIT_BYTES);
            fixture.sendTable(new int[] {0}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            String large = "a".repeat(SMALL_LIMIT_BYTES);
            assertRequestInFlightIsAnswered(fixture, () -> {
                TestClient client = fixture.connect();
                assertEquals(502, client.call("GET", "/quote", "cookie", large).status());
                fixture.sendTableOfAllHosts(RetryPolicy.ONE_IF_NOT_EXECUTED);
                for (int i = 0; i < 20; i++) { // the first attempts of about half of the requests are at the first host
                    assertEquals(
                            200, client.call("GET", "/quote", "cookie", large).status(), "request " + i);
                }
            });
        }
    }

    /** A client accepts fewer bytes than a response has: this response is replaced by 502, its other ones are sent. */
    @Test
    void replacesResponseThatClientDoesNotAccept() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends()
                    .get(0)
                    .onPath("/quote/large", Reaction.of(Behaviour.ANSWER).withFillFieldBytes(SMALL_LIMIT_BYTES));
            TestClient client = new TestClient(fixture.gateway().port(), Frame.MAX_HEADER_LIST_SIZE, SMALL_LIMIT_BYTES);
            assertEquals(502, client.call("GET", "/quote/large").status());
            assertEquals(200, client.call("GET", "/quote").status());
            assertTrue(fixture.log().contains("the client accepts fewer bytes of headers"));
            fixture.awaitIdle();
            client.close();
        }
    }

    /** A host accepts fewer bytes than a request's trailers have: this request ends, others do not. */
    @Test
    void endsRequestWhoseTrailersHostDoesNotAccept() throws IOException {
        try (GatewayFixture fixture = new GatewayFixture(1)) {
            fixture.backends().get(0).withMaxHeaderListBytes(SMALL_LIMIT_BYTES);
            assertRequestInFlightIsAnswered(fixture, () -> {
                TestClient client = fixture.connect();
                int upload = client.sendHeaders("POST", "/quote", false);
                client.sendData(upload, 10, false);
                HttpFields trailers = HttpFields.build().put("x-sum", "7".repeat(SMALL_LIMIT_BYTES));
                client.frames().sendHeaders(upload, new MetaData(HttpVersion.HTTP_2, trailers), true);
                assertTrue(client.await(upload).isReset());
                assertFalse(client.isClosed());
                assertEquals(200, client.call("GET", "/quote").status());
            });
        }
    }

    /**
     * Clients send requests whose headers have very many short fields, which the host does not answer. A field takes several
     * times its size in HTTP/2's count. Guards against headers that are not counted in {@code in-all}.
     */
    @Test
    void limitsHeapOfManyShortFields() throws IOException {
        String settings = "body in-all=\"16MiB\" window=\"16KiB\"\nhosts connections=16 streams=100 waiting=2000";
        try (GatewayFixture fixture = new GatewayFixture(1, settings)) {
            fixture.sendTableOfAllHosts(RetryPolicy.NONE);
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.HANG));
            assertEquals(200, fixture.connect().call("GET", "/quote").status());
            String[] fields = shortFields();
            List<TestClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(fixture.connect());
            }
            long usedBefore = usedHeapBytes();
            for (TestClient client : clients) {
                for (int request = 0; request < REQUESTS_PER_CLIENT; request++) {
                    client.send("POST", "/assign", fields);
                }
                assertEquals(404, client.call("GET", "/no-route").status()); // all requests before it were received
            }
            long usedBytes = usedHeapBytes() - usedBefore;
            assertTrue(usedBytes < MAX_REQUEST_MEMORY_BYTES, "requests take " + usedBytes + " bytes, more than in-all");
        }
    }

    /** Returns pairs of names of two or three bytes and empty values, as many as the limit of headers allows. */
    private static String[] shortFields() {
        String[] fields = new String[2 * SHORT_FIELDS];
        for (int i = 0; i < SHORT_FIELDS; i++) {
            fields[2 * i] = "x" + Integer.toString(i, Character.MAX_RADIX);
            fields[2 * i + 1] = "";
        }
        return fields;
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
