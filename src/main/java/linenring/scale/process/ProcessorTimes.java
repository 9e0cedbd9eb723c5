package linenring.scale.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The processor time of a process, read from its files under /proc.
 *
 * @param readAtNanos the time of the reading, by {@link System#nanoTime}
 * @param processorNanos the user and system time of all threads of the process, including threads that have ended
 * @param processorNanosByThread the processor time of each running thread, by thread id and name
 */
public record ProcessorTimes(long readAtNanos, long processorNanos, Map<ThreadKey, Long> processorNanosByThread) {
    private static final long NANOS_PER_TICK = 10_000_000; // USER_HZ is 100 on every Linux
    private static final String TRAILING_NUMBER = "[-#]?[0-9]+(-[0-9]+)?$";
    private static final int FIELDS_BEFORE_UTIME =
            11; // index of utime among the fields after the process name, which is in brackets

    /** Identifies a thread by its id and its name, which the kernel truncates to 15 characters. */
    public record ThreadKey(long id, String name) {}

    /**
     * Reads the processor times of a process; of each thread only if {@code byThread}, which reads two more files for each
     * thread.
     */
    static ProcessorTimes read(Path process, boolean byThread) throws IOException {
        long readAtNanos = System.nanoTime();
        String stat = Files.readString(process.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        long ticks = Long.parseLong(fields[FIELDS_BEFORE_UTIME]) + Long.parseLong(fields[FIELDS_BEFORE_UTIME + 1]);
        return new ProcessorTimes(readAtNanos, ticks * NANOS_PER_TICK, byThread ? readThreads(process) : Map.of());
    }

    private static Map<ThreadKey, Long> readThreads(Path process) throws IOException {
        Map<ThreadKey, Long> threads = new HashMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process.resolve("task"))) {
            for (Path task : tasks) {
                try {
                    String name = Files.readString(task.resolve("comm")).strip();
                    String spentNanos =
                            Files.readString(task.resolve("schedstat")).split(" ", 2)[0];
                    long id = Long.parseLong(task.getFileName().toString());
                    threads.put(new ThreadKey(id, name), Long.parseLong(spentNanos));
                } catch (IOException threadEnded) {
                    // The thread has ended since the directory was listed. Its time is included in the total of the
                    // process.
                }
            }
        }
        return threads;
    }

    /** Returns processor time divided by elapsed time since an earlier reading; 1 is one core. */
    public double shareSince(ProcessorTimes earlier) {
        return (double) (processorNanos - earlier.processorNanos) / (readAtNanos - earlier.readAtNanos);
    }

    /**
     * Returns processor time divided by elapsed time, by thread name. Trailing numbers of names are removed, so that the
     * threads of a pool are added up.
     */
    public Map<String, Double> sharesByThreadSince(ProcessorTimes earlier) {
        Map<String, Double> shares = new HashMap<>();
        processorNanosByThread.forEach((thread, spentNanos) -> {
            long spentNanosBefore = earlier.processorNanosByThread.getOrDefault(thread, 0L);
            double share = (double) (spentNanos - spentNanosBefore) / (readAtNanos - earlier.readAtNanos);
            shares.merge(thread.name().replaceAll(TRAILING_NUMBER, ""), share, Double::sum);
        });
        shares.values().removeIf(share -> share == 0);
        return shares;
    }
}
