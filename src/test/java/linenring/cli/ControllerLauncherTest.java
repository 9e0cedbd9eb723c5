package linenring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import linenring.configuration.ControllerConfigurationReader;
import linenring.log.Log;
import org.junit.jupiter.api.Test;

class ControllerLauncherTest {
    @Test
    void goesOnWithTheOldConfigurationWhereTheNewOneIsAtFault() {
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        ControllerLauncher.reload(
                null,
                () -> ControllerConfigurationReader.read(Map.of("GW_CONFIG", "/nowhere/at/all")),
                null, // neither is touched
                new Log(new PrintStream(logged, true, StandardCharsets.UTF_8)));
        assertEquals(1, logged.toString(StandardCharsets.UTF_8).lines().count());
        assertTrue(logged.toString(StandardCharsets.UTF_8)
                .endsWith(" WARN reload goes on as before: GW_CONFIG: cannot read /nowhere/at/all\n"));
    }

    /** Without the handler this ends the whole run of the tests, as it ended a controller in service. */
    @Test
    void reloadsAtSighup() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        ReloadSignals.install(() -> {}).onEach(both::countDown, new Log(System.err));
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
    void reloadsAtStartAfterAnEarlierSighup() throws Exception {
        ReloadSignals signals = ReloadSignals.install(() -> {});
        AtomicInteger times = new AtomicInteger();
        synchronized (signals) { // the signal's thread has begun and waits: it always comes before the watch
            ProcessSignals.raise(ProcessSignals.HANG_UP);
            while (Thread.getAllStackTraces().keySet().stream()
                    .noneMatch(
                            thread -> thread.getName().contains("HUP") && thread.getState() == Thread.State.BLOCKED)) {
                Thread.onSpinWait();
            }
        }
        while (Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().contains("HUP"))) {
            Thread.onSpinWait(); // until it has come
        }
        signals.onEach(times::incrementAndGet, new Log(System.err));
        assertEquals(1, times.get());
    }

    @Test
    void logsAReloadThatFailsAndRunsTheNextOne() throws Exception {
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        ReloadSignals signals = ReloadSignals.install(() -> {});
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch both = new CountDownLatch(2);
        signals.onEach(
                () -> {
                    first.countDown();
                    both.countDown();
                    throw new IllegalStateException("a fault of the reload");
                },
                new Log(new PrintStream(logged, true, StandardCharsets.UTF_8)));
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(first.await(20, TimeUnit.SECONDS));
        synchronized (signals) { // the first is through
            assertTrue(logged.toString(StandardCharsets.UTF_8)
                    .contains(" ERROR fault a reload failed: java.lang.IllegalStateException"));
        }
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(both.await(20, TimeUnit.SECONDS));
    }
}
