package linenring.scale.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Processor time of a process, from its files under /proc.
 *
 * @param atNanos when it was read, by {@link System#nanoTime}
 * @param nanos user and system time of all its threads, ended ones included
 * @param nanosByThread that of the threads that run, by thread id and name
 */
public record ProcessorTimes(long atNanos, long nanos, Map<ThreadKey, Long> nanosByThread) {
    private static final long NANOS_PER_TICK = 10_000_000; // USER_HZ is 100 on every Linux
    private static final String NUMBER_AT_END = "[-#]?[0-9]+(-[0-9]+)?$";
    private static final int FIELDS_BEFORE_UTIME = 11; // after the name in brackets: state is the first

    /** A thread and its name, of which the kernel keeps 15 characters. */
    public record ThreadKey(long id, String name) {}

    /** Reads them; by thread only if {@code byThread}, since that takes a file or two for each. */
    static ProcessorTimes read(Path process, boolean byThread) throws IOException {
        long readAtNanos = System.nanoTime();
        String stat = Files.readString(process.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        long ticks = Long.parseLong(fields[FIELDS_BEFORE_UTIME]) + Long.parseLong(fields[FIELDS_BEFORE_UTIME + 1]);
        return new ProcessorTimes(readAtNanos, ticks * NANOS_PER_TICK, byThread ? threads(process) : Map.of());
    }

    private static Map<ThreadKey, Long> threads(Path process) throws IOException {
        Map<ThreadKey, Long> threads = new HashMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process.resolve("task"))) {
            for (Path task : tasks) {
                try {
                    String name = Files.readString(task.resolve("comm")).strip();
                    String spent = Files.readString(task.resolve("schedstat")).split(" ", 2)[0];
                    long id = Long.parseLong(task.getFileName().toString());
                    threads.put(new ThreadKey(id, name), Long.parseLong(spent));
                } catch (IOException ended) {
                    // the thread has ended meanwhile: its time is in the process's total
                }
            }
        }
        return threads;
    }

    /** Processor time over elapsed time since an earlier reading: 1 is one core. */
    public double shareSince(ProcessorTimes before) {
        return (double) (nanos - before.nanos) / (atNanos - before.atNanos);
    }

    /** The same by thread name; a number at the end of a name is left out, so that threads of a pool are added up. */
    public Map<String, Double> sharesByThreadSince(ProcessorTimes before) {
        Map<String, Double> shares = new HashMap<>();
        nanosByThread.forEach((thread, spent) -> {
            long spentBefore = before.nanosByThread.getOrDefault(thread, 0L);
            double share = (double) (spent - spentBefore) / (atNanos - before.atNanos);
            shares.merge(thread.name().replaceAll(NUMBER_AT_END, ""), share, Double::sum);
        });
        shares.values().removeIf(share -> share == 0);
        return shares;
    }
}
