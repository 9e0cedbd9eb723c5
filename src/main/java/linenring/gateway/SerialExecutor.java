package linenring.gateway;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/** Runs tasks one at a time, in the order of the calls of {@link #execute}, on the threads of another executor. */
final class SerialExecutor implements Executor {
    private final Executor executor;
    private final SerializedInvoker invoker = new SerializedInvoker();
    private final ConcurrentLinkedQueue<Runnable> readyTasks = new ConcurrentLinkedQueue<>();

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    /** Queues a task and returns immediately; the task never runs on the caller's thread. */
    @Override
    public void execute(Runnable task) {
        Runnable readyTask = invoker.offer(task); // null if an earlier task runs this one after itself
        if (readyTask != null) {
            readyTasks.add(readyTask);
        }
        executor.execute(this::runReadyTasks);
    }

    private void runReadyTasks() {
        for (Runnable next = readyTasks.poll(); next != null; next = readyTasks.poll()) {
            next.run();
        }
    }
}
