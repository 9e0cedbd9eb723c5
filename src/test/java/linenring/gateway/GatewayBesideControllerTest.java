package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import linenring.controller.ControlLoop;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.routing.HostRegistry;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a gateway that is the only proxy of a controller in the same process, with test backends as hosts. */
@Timeout(90)
class GatewayBesideControllerTest {
    private static final int BACKENDS = 4;

    private final List<TestBackend> backends = new ArrayList<>();
    private final Log log = new Log(new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8));
    private final EventQueue events = new EventQueue();
    private Thread controllerThread;
    private Http2Gateway gateway;
    private long version;

    private static PlannerSettings plannerSettings() {
        PlannerSettings.Operation operation = new PlannerSettings.Operation(500, 1, -1, -1, false, 2);
        return new PlannerSettings(
                List.of(operation, operation, operation),
                new PlannerSettings.ColdStart(0.2, 1000),
                new PlannerSettings.Channel(5000, 4, 5000, 0, 10_000, 10, 50, 1000),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.AdmissionUnit.SHARE,
                false,
                0,
                false,
                6);
    }

    @BeforeEach
    void start() throws IOException, GatewayStartException {
        for (int i = 0; i < BACKENDS; i++) {
            backends.add(new TestBackend());
        }
        HostRegistry hosts = new HostRegistry();
        events.addHostListListener(hosts::apply);
        ControlLoop controller = new ControlLoop(plannerSettings(), GatewayFixture.NAMES, null, events, log);
        controllerThread = new Thread(controller::run, "controller");
        controllerThread.setDaemon(true);
        controllerThread.start();
        enqueueHostList(HostList.State.READY, 0, 1, 2, 3);
        gateway = Http2Gateway.start(
                GatewayFixture.settings("avoid after=0"),
                PlannerSettings.AdmissionUnit.SHARE,
                hosts,
                events,
                ListenOptions.openSocket(),
                log);
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        controllerThread.interrupt();
        for (TestBackend backend : backends) {
            backend.close();
        }
    }

    private void enqueueHostList(HostList.State state, int... hosts) {
        version++;
        events.enqueueHostList(GatewayFixture.hostList(version, version == 1, state, IntStream.of(hosts), backends));
    }

    private static int callQuote(TestClient client) {
        try {
            return client.call("GET", "/quote").status();
        } catch (IOException failure) {
            throw new AssertionError(failure);
        }
    }

    /** Sends 40 requests and returns the number of responses with a status other than 200. */
    private static int countFailuresOf40(TestClient client) {
        int failed = 0;
        for (int i = 0; i < 40; i++) {
            failed += callQuote(client) == 200 ? 0 : 1;
        }
        return failed;
    }

    /** Returns a client after the gateway has received its first endpoint table. */
    private TestClient connect() throws IOException {
        TestClient client = new TestClient(gateway.port());
        TestClient.await(this, () -> callQuote(client) == 200, "the gateway has received its first table");
        return client;
    }

    private int executions(String path) {
        return backends.stream().mapToInt(backend -> backend.executions(path)).sum();
    }

    @Test
    void sendsNothingToDrainingHostOnceUpdateIsApplied() throws IOException {
        try (TestClient client = connect()) {
            enqueueHostList(HostList.State.TERMINATING, 0);
            TestBackend draining = backends.get(0);
            TestClient.await(
                    this,
                    () -> { // 40 requests in a row avoid one of four equal hosts by chance once in 100,000 times
                        int executionsBefore = draining.executions("/quote");
                        assertEquals(0, countFailuresOf40(client));
                        return executionsBefore == draining.executions("/quote");
                    },
                    "the draining host s-0 gets no requests");
            int finalExecutions = draining.executions("/quote");
            for (int i = 0; i < 100; i++) {
                assertEquals(200, callQuote(client));
            }
            assertEquals(finalExecutions, draining.executions("/quote"));
        }
    }

    /** The controller ejects a failing host by the gateway's load reports; ejection by the gateway itself is disabled. */
    @Test
    void ejectsFailingHostByReportsOfGateway() throws IOException {
        try (TestClient client = connect()) {
            backends.get(1).onPath("/", Reaction.of(Behaviour.ERROR));
            TestClient.await(this, () -> countFailuresOf40(client) == 0, "s-1 is ejected");
        }
    }

    @Test
    void answersAtOnceWhileAllHostsDrainAndRecovers() throws IOException {
        try (TestClient client = connect()) {
            enqueueHostList(HostList.State.TERMINATING, 0, 1, 2, 3);
            TestClient.await(this, () -> callQuote(client) == 503, "no host can be picked");
            long startNanos = System.nanoTime();
            assertEquals(503, client.call("POST", "/assign").status());
            assertTrue(System.nanoTime() - startNanos < 1_000_000_000L);
            enqueueHostList(HostList.State.READY, 0, 1, 2, 3);
            connect().close();
        }
    }

    @Test
    void servesWithItsTablesWithoutController() throws Exception {
        try (TestClient client = connect()) {
            controllerThread.interrupt();
            controllerThread.join();
            for (int i = 0; i < 200; i++) {
                assertEquals(200, callQuote(client));
            }
            assertTrue(backends.stream().allMatch(backend -> backend.executions("/quote") > 10));
        }
    }

    @Test
    void finishesDrainWhileHostsDrain() throws Exception {
        try (TestClient client = connect()) {
            backends.forEach(backend ->
                    backend.onPath("/assign", Reaction.of(Behaviour.ANSWER).withDelayMs(600)));
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                streams.add(client.send("POST", "/assign"));
            }
            client.await(() -> executions("/assign") == 60, "the backends execute all requests");
            enqueueHostList(HostList.State.TERMINATING, 2, 3);
            gateway.drain();
            gateway.awaitDrained();
            streams.forEach(stream -> assertEquals(200, client.await(stream).status()));
            assertEquals(60, executions("/assign"));
        }
    }

    @Test
    void dialsHostAtItsNewAddress() throws IOException {
        try (TestClient client = connect();
                TestBackend backendAtNewAddress = new TestBackend()) {
            backends.get(0).close();
            backends.set(0, backendAtNewAddress);
            enqueueHostList(HostList.State.READY, 0);
            TestClient.await(
                    this,
                    () -> {
                        callQuote(client); // the status does not matter until the new address is used
                        return backendAtNewAddress.executions("/quote") > 0;
                    },
                    "the gateway uses the new address");
        }
    }
}
