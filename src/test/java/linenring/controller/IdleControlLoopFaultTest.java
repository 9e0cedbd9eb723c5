package linenring.controller;

import static linenring.controller.ControlLoopFixture.STARTED_LONG_AGO;
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
 * A fault in the planner at a controller that receives no further events. The planner may not have requested its next call, so the
 * control loop would wait indefinitely and proxies would keep an outdated table.
 */
class IdleControlLoopFaultTest {
    private static final int HOSTS = 4;
    private static final int INVALID_KIND = -1; // index that no real list contains; it makes every reconciliation fail
    private static final int EXPECTED_FAULTS = 3;
    private static final long WAIT_SECONDS = 10;

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();

    @Test
    void reconcilesAgainAfterAFaultWithoutNewEvents() throws InterruptedException {
        ControlLoop controlLoop = new ControlLoop(
                ControlLoopFixture.settings(1000),
                names(),
                warmHosts(1, HOSTS),
                eventQueue,
                new Log(new PrintStream(logOutput, true)));
        Thread thread = new Thread(controlLoop::run, "controller");
        thread.start();
        try {
            TimeUnit.SECONDS.sleep(1); // the control loop becomes idle
            eventQueue.enqueueHostList(new HostList(
                    2, false, List.of(new HostList.Entry("s-9", 0, INVALID_KIND, State.READY, 1, STARTED_LONG_AGO))));
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
            while (countLoggedFaults() < EXPECTED_FAULTS && System.nanoTime() < deadlineNanos) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
            assertTrue(countLoggedFaults() >= EXPECTED_FAULTS, logOutput.toString(StandardCharsets.UTF_8));
        } finally {
            thread.interrupt();
            thread.join();
        }
    }

    private long countLoggedFaults() {
        return logOutput
                .toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("ERROR fault"))
                .count();
    }

    private static Names names() {
        return new Names(List.of("a", "b", "c"), List.of("m1"), List.of("lookup"), 1, 4);
    }
}
