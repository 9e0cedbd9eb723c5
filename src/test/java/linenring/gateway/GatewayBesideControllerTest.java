package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import linenring.controller.ControlLoop;
import linenring.event.EventQueue;
import linenring.gateway.settings.SettingsText;
import linenring.log.Log;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.routing.HostRegistry;
import linenring.testserver.LoadClient;
import linenring.testserver.TestBackend;
import linenring.testserver.TestBackend.Deed;
import linenring.testserver.TestBackend.Told;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The whole of it: the decisions, a steward's thread, a front that is its only proxy, stand-in nodes. */
@Timeout(90)
class GatewayBesideControllerTest {
    private final List<TestBackend> nodes = new ArrayList<>();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true));
    private final EventQueue exchange = new EventQueue();
    private Thread thread;
    private Http2Gateway front;
    private long version;

    @BeforeEach
    void opens() throws IOException {
        PlannerSettings.Operation open = new PlannerSettings.Operation(500, 1, -1, -1, false, 2);
        PlannerSettings figures = new PlannerSettings(
                List.of(open, open, open),
                new PlannerSettings.ColdStart(0.2, 1000),
                new PlannerSettings.Channel(5000, 4, 5000, 0, 10_000, 10, 50, 1000),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
        for (int h = 0; h < 4; h++) {
            nodes.add(new TestBackend());
        }
        HostRegistry book = new HostRegistry();
        exchange.addHostListListener(book::apply);
        ControlLoop steward = new ControlLoop(figures, GatewayFixture.NAMES, null, exchange, log);
        thread = new Thread(steward::run, "steward");
        thread.setDaemon(true);
        thread.start();
        list(HostList.State.READY, 0, 1, 2, 3);
        front = Http2Gateway.open(
                        SettingsText.plan(String.format(GatewayFixture.PLAN, "avoid after=0"), GatewayFixture.NAMES),
                        PlannerSettings.Measure.SHARE,
                        book,
                        exchange,
                        log)
                .front();
    }

    @AfterEach
    void closes() throws IOException {
        front.close();
        thread.interrupt();
        for (TestBackend n : nodes) {
            n.close();
        }
    }

    private void list(HostList.State state, int... hosts) {
        version++;
        exchange.enqueueHostList(new HostList(
                version,
                version == 1,
                IntStream.of(hosts)
                        .mapToObj(h -> new HostList.Entry(
                                "s-" + h,
                                h % 2,
                                0,
                                state,
                                1,
                                Double.NEGATIVE_INFINITY,
                                nodes.get(h).address(),
                                -1))
                        .toList()));
    }

    private LoadClient served() throws IOException {
        LoadClient c = new LoadClient(front.port());
        LoadClient.awaiting(
                this,
                () -> {
                    try {
                        return c.call("GET", "/quote").status == 200;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                },
                "the first table has come");
        return c;
    }

    @Test
    void aHostThatIsListedAsDrainingGetsNothingOnceTheOrderIsInForceAndTheRestGoesOn() throws IOException {
        try (LoadClient c = served()) {
            list(HostList.State.TERMINATING, 0);
            int[] last = {-1};
            LoadClient.awaiting(
                    this,
                    () -> { // 40 in a row without it; of four equal hosts that is chance once in 100,000
                        int before = nodes.get(0).ran("/quote");
                        for (int i = 0; i < 40; i++) {
                            try {
                                assertEquals(200, c.call("GET", "/quote").status);
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        }
                        last[0] = nodes.get(0).ran("/quote");
                        return before == last[0];
                    },
                    "s-0 is left alone");
            for (int i = 0; i < 100; i++) {
                assertEquals(200, c.call("GET", "/quote").status);
            }
            assertEquals(last[0], nodes.get(0).ran("/quote"));
        }
    }

    /** The front avoids nobody by itself here: it is its sums by which the decisions shut the host out. */
    @Test
    void aHostThatErrorsIsShutOutByTheDecisionsThroughTheFrontsOwnSums() throws IOException {
        try (LoadClient c = served()) {
            nodes.get(1).always("/", Told.of(Deed.ERROR));
            LoadClient.awaiting(
                    this,
                    () -> {
                        int errored = 0;
                        for (int i = 0; i < 40; i++) {
                            try {
                                errored += c.call("GET", "/quote").status == 200 ? 0 : 1;
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        }
                        return errored == 0;
                    },
                    "s-1 is shut out");
        }
    }

    @Test
    void whereAllHostsDrainTheAnswerIsAtOnceAndServiceReturnsWithThem() throws IOException {
        try (LoadClient c = served()) {
            list(HostList.State.TERMINATING, 0, 1, 2, 3);
            LoadClient.awaiting(
                    this,
                    () -> {
                        try {
                            return c.call("GET", "/quote").status == 503;
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    },
                    "nothing can be picked");
            long from = System.nanoTime();
            assertEquals(503, c.call("POST", "/assign").status);
            assertTrue(System.nanoTime() - from < 1_000_000_000L);
            list(HostList.State.READY, 0, 1, 2, 3);
            served().close();
        }
    }

    @Test
    void whereTheStewardIsGoneTheFrontGoesOnWithWhatItHolds() throws Exception {
        try (LoadClient c = served()) {
            thread.interrupt();
            thread.join();
            for (int i = 0; i < 200; i++) {
                assertEquals(200, c.call("GET", "/quote").status);
            }
            assertTrue(nodes.stream().allMatch(n -> n.ran("/quote") > 10));
        }
    }

    @Test
    void aDrainOfTheFrontWhileAHostDrainsFinishesBoth() throws Exception {
        try (LoadClient c = served()) {
            nodes.forEach(n -> n.always("/assign", Told.of(Deed.ANSWER).after(600)));
            List<Integer> streams = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                streams.add(c.send("POST", "/assign"));
            }
            c.until(() -> nodes.stream().mapToInt(n -> n.ran("/assign")).sum() == 60, "all run");
            list(HostList.State.TERMINATING, 2, 3);
            front.drain();
            front.awaitDrained();
            streams.forEach(s -> assertEquals(200, c.await(s).status));
            assertEquals(60, nodes.stream().mapToInt(n -> n.ran("/assign")).sum());
        }
    }

    @Test
    void aHostThatComesBackAtAnotherAddressIsDialledThere() throws IOException {
        try (LoadClient c = served();
                TestBackend elsewhere = new TestBackend()) {
            nodes.get(0).close();
            nodes.set(0, elsewhere);
            list(HostList.State.READY, 0);
            LoadClient.awaiting(
                    this,
                    () -> {
                        try {
                            c.call("GET", "/quote");
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        return elsewhere.ran("/quote") > 0;
                    },
                    "it is found");
        }
    }
}
