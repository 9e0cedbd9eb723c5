package linenring.scale.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import linenring.scale.process.ProcessorTimes.ThreadKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessorTimesTest {
    @TempDir
    private Path process;

    private void writeThread(String id, String name, String schedstat) throws IOException {
        Path task = Files.createDirectories(process.resolve("task").resolve(id));
        Files.writeString(task.resolve("comm"), name + "\n");
        Files.writeString(task.resolve("schedstat"), schedstat);
    }

    @Test
    void readsUserAndSystemTimeWhenTheProcessNameContainsBrackets() throws IOException {
        Files.writeString(process.resolve("stat"), "7 (a ) b) S 1 7 7 0 -1 4194560 100 0 0 0 250 50 0 0 20 0\n");
        writeThread("8", "qtp99-12", "1500000 10 3\n");
        ProcessorTimes times = ProcessorTimes.read(process, true);
        assertEquals(3_000_000_000L, times.processorNanos());
        assertEquals(Map.of(new ThreadKey(8, "qtp99-12"), 1_500_000L), times.processorNanosByThread());
        assertTrue(ProcessorTimes.read(process, false).processorNanosByThread().isEmpty());
    }

    @Test
    void addsUpThreadsOfAPoolAndCountsNewOnesFromTheirStart() {
        ProcessorTimes earlier = new ProcessorTimes(0, 0, Map.of(new ThreadKey(1, "qtp5-1"), 100L));
        ProcessorTimes later = new ProcessorTimes(
                1024,
                512,
                Map.of(
                        new ThreadKey(1, "qtp5-1"), 228L,
                        new ThreadKey(2, "qtp5-2"), 128L,
                        new ThreadKey(3, "timer"), 0L,
                        new ThreadKey(4, "C1 CompilerThre"), 512L));
        assertEquals(0.5, later.shareSince(earlier));
        assertEquals(Map.of("qtp", 0.25, "C1 CompilerThre", 0.5), later.sharesByThreadSince(earlier));
    }
}
