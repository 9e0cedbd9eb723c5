package linenring.controller;

import static linenring.controller.ControlLoopFixture.LONG_AGO;
import static linenring.controller.ControlLoopFixture.warmHosts;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;

/** A fault in the decisions, at a steward that nothing reaches any more and that is asked for no call. */
class FaultAtRestTest {
    private static final int HOSTS = 4;
    private static final int NO_KIND = -1; // no list can name it; it makes each reconciliation fail
    private static final int ATTEMPTS = 3;
    private static final long WAIT_SECONDS = 10;

    private final EventQueue exchange = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();

    @Test
    void decidesAgainThoughNothingArrives() throws InterruptedException {
        ControlLoop steward = new ControlLoop(
                settings(), names(), warmHosts(1, HOSTS), exchange, new Log(new PrintStream(logged, true)));
        Thread thread = new Thread(steward::run, "steward");
        thread.start();
        try {
            TimeUnit.SECONDS.sleep(1); // it has come to rest
            exchange.enqueueHostList(
                    new HostList(2, false, List.of(new HostList.Entry("s-9", 0, NO_KIND, State.READY, 1, LONG_AGO))));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
            while (faults() < ATTEMPTS && System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            assertTrue(faults() >= ATTEMPTS, logged.toString(StandardCharsets.UTF_8));
        } finally {
            thread.interrupt();
            thread.join();
        }
    }

    private long faults() {
        return logged.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("ERROR fault"))
                .count();
    }

    private static PlannerSettings settings() {
        return new PlannerSettings(
                List.of(new PlannerSettings.Operation(1000, 1, -1, -1, false, 3)),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(1200, 4, 1000, 30, 10_000, 150, 300, 2000),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
    }

    private static Names names() {
        return new Names(List.of("a", "b", "c"), List.of("m1"), List.of("lookup"), 1, 4);
    }
}
