package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import linenring.configuration.ControllerConfigurationReader;
import linenring.log.Log;
import org.junit.jupiter.api.Test;

class ServeCommandTest {
    @Test
    void aFaultyConfigurationIsOneLineAndTheOldOneGoesOn() {
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        ServeCommand.reload(
                null,
                () -> ControllerConfigurationReader.read(Map.of("GW_CONFIG", "/nowhere/at/all")),
                null, // neither is touched
                new Log(new PrintStream(logged, true)));
        assertEquals(1, logged.toString().lines().count());
        assertTrue(
                logged.toString().endsWith(" WARN reload goes on as before: GW_CONFIG: cannot read /nowhere/at/all\n"));
    }

    /** Without the handler this ends the whole run of the tests, as it ended a steward in service. */
    @Test
    void aHangUpIsActedOnAndEndsNothing() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        ReloadSignals.caught(() -> {}).then(both::countDown, new Log(System.err));
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        for (int i = 0; i < 2000 && both.getCount() > 1; i++) {
            TimeUnit.MILLISECONDS.sleep(10); // signals of one kind that come at once are one
        }
        assertEquals(1, both.getCount());
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(both.await(20, TimeUnit.SECONDS));
    }

    /** One that came while the configuration was read: its file may be newer than what was read of it. */
    @Test
    void aHangUpBeforeThereIsAWatchIsActedOnOnceThereIs() throws Exception {
        ReloadSignals hangUps = ReloadSignals.caught(() -> {});
        AtomicInteger times = new AtomicInteger();
        synchronized (hangUps) { // the signal's thread has begun and waits: it comes before the watch, every time
            ProcessSignals.raise(ProcessSignals.HANG_UP);
            while (Thread.getAllStackTraces().keySet().stream()
                    .noneMatch(t -> t.getName().contains("HUP") && t.getState() == Thread.State.BLOCKED)) {
                Thread.onSpinWait();
            }
        }
        while (Thread.getAllStackTraces().keySet().stream()
                .anyMatch(t -> t.getName().contains("HUP"))) {
            Thread.onSpinWait(); // it has come
        }
        hangUps.then(times::incrementAndGet, new Log(System.err));
        assertEquals(1, times.get());
    }

    @Test
    void aReloadThatFailsIsToldAndTheNextOneIsActedOn() throws Exception {
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        ReloadSignals hangUps = ReloadSignals.caught(() -> {});
        CountDownLatch came = new CountDownLatch(1), again = new CountDownLatch(2);
        hangUps.then(
                () -> {
                    came.countDown();
                    again.countDown();
                    throw new IllegalStateException("a fault of the reload");
                },
                new Log(new PrintStream(logged, true)));
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(came.await(20, TimeUnit.SECONDS));
        synchronized (hangUps) { // the first is through
            assertTrue(logged.toString().contains(" ERROR fault a reload failed: java.lang.IllegalStateException"));
        }
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(again.await(20, TimeUnit.SECONDS));
    }
}
