package linenring.handover;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Creates daemon threads, which do not keep the process running. */
final class DaemonThreads {
    private DaemonThreads() {}

    /** Returns an executor with one daemon thread, which runs its tasks one after the other. */
    static ScheduledExecutorService singleThread(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> newThread(name, task));
    }

    static Thread newThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
