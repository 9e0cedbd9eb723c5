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
    void keepsCurrentConfigurationWhenTheNewOneCannotBeRead() {
        ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
        ControllerLauncher.reload(
                null,
                () -> ControllerConfigurationReader.read(Map.of("GW_CONFIG", "/nowhere/at/all")),
                null, // a failed reload uses neither the configuration nor the watch
                new Log(new PrintStream(logOutput, true, StandardCharsets.UTF_8)));
        assertEquals(1, logOutput.toString(StandardCharsets.UTF_8).lines().count());
        assertTrue(logOutput
                .toString(StandardCharsets.UTF_8)
                .endsWith(" WARN reload keeping the current configuration because the new one cannot be used:"
                        + " GW_CONFIG: cannot read /nowhere/at/all\n"));
    }

    /**
     * Guards against a missing SIGHUP handler: without one the signal ended a serving controller, and would end the JVM
     * of this test.
     */
    @Test
    void reloadsAtSighup() throws Exception {
        CountDownLatch reloads = new CountDownLatch(2);
        ReloadSignals.install(() -> {}).setReloadAction(reloads::countDown, new Log(System.err));
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        for (int i = 0; i < 2000 && reloads.getCount() > 1; i++) {
            TimeUnit.MILLISECONDS.sleep(10); // signals of one kind that arrive together are merged
        }
        assertEquals(1, reloads.getCount());
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(reloads.await(20, TimeUnit.SECONDS));
    }

    /**
     * A SIGHUP that arrives while the configuration is read must cause a reload: the file may be newer than the text
     * that was read.
     */
    @Test
    void reloadsAtStartAfterAnEarlierSighup() throws Exception {
        ReloadSignals signals = ReloadSignals.install(() -> {});
        AtomicInteger reloadCount = new AtomicInteger();
        synchronized (
                signals) { // the signal is raised, but its handler waits for this lock until the reload action is set
            ProcessSignals.raise(ProcessSignals.HANG_UP);
            while (Thread.getAllStackTraces().keySet().stream()
                    .noneMatch(
                            thread -> thread.getName().contains("HUP") && thread.getState() == Thread.State.BLOCKED)) {
                Thread.onSpinWait();
            }
        }
        while (Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().contains("HUP"))) {
            Thread.onSpinWait(); // wait until the signal has been handled
        }
        signals.setReloadAction(reloadCount::incrementAndGet, new Log(System.err));
        assertEquals(1, reloadCount.get());
    }

    @Test
    void logsAFailedReloadAndRunsTheNextOne() throws Exception {
        ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
        ReloadSignals signals = ReloadSignals.install(() -> {});
        CountDownLatch firstReload = new CountDownLatch(1);
        CountDownLatch reloads = new CountDownLatch(2);
        signals.setReloadAction(
                () -> {
                    firstReload.countDown();
                    reloads.countDown();
                    throw new IllegalStateException("reload failure made by the test");
                },
                new Log(new PrintStream(logOutput, true, StandardCharsets.UTF_8)));
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(firstReload.await(20, TimeUnit.SECONDS));
        synchronized (signals) { // the monitor is free only after the first reload has returned
            assertTrue(logOutput
                    .toString(StandardCharsets.UTF_8)
                    .contains(" ERROR fault a reload failed: java.lang.IllegalStateException"));
        }
        ProcessSignals.raise(ProcessSignals.HANG_UP);
        assertTrue(reloads.await(20, TimeUnit.SECONDS));
    }
}
