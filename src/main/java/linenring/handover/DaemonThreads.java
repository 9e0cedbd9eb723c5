package linenring.handover;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Threads that do not keep the process from ending. */
final class DaemonThreads {
    private DaemonThreads() {}

    /** An executor of one thread: what it runs is never run at the same time. */
    static ScheduledExecutorService singleThread(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> newThread(name, task));
    }

    static Thread newThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
