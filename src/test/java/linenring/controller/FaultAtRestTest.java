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
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;

/**
 * A fault in the planner, at a controller that no event reaches any more: the planner may have asked for no further call, and the loop
 * would wait until something arrives. Proxies would go on with an old table.
 */
class FaultAtRestTest {
    private static final int HOSTS = 4;
    private static final int INVALID_KIND = -1; // no list can name it; it makes each reconciliation fail
    private static final int ATTEMPTS = 3;
    private static final long WAIT_SECONDS = 10;

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();

    @Test
    void decidesAgainAfterAFaultThoughNothingArrives() throws InterruptedException {
        ControlLoop controlLoop = new ControlLoop(
                ControlLoopFixture.settings(1000),
                names(),
                warmHosts(1, HOSTS),
                eventQueue,
                new Log(new PrintStream(logged, true)));
        Thread thread = new Thread(controlLoop::run, "controller");
        thread.start();
        try {
            TimeUnit.SECONDS.sleep(1); // it has come to rest
            eventQueue.enqueueHostList(new HostList(
                    2, false, List.of(new HostList.Entry("s-9", 0, INVALID_KIND, State.READY, 1, LONG_AGO))));
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

    private static Names names() {
        return new Names(List.of("a", "b", "c"), List.of("m1"), List.of("lookup"), 1, 4);
    }
}
