package linenring.gateway;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/** Runs tasks one after the other, in the order of {@link #execute}, on whichever thread of an executor is free. */
final class SerialTasks implements Executor {
    private final Executor executor;
    private final SerializedInvoker invoker = new SerializedInvoker();
    private final ConcurrentLinkedQueue<Runnable> runnable = new ConcurrentLinkedQueue<>();

    SerialTasks(Executor executor) {
        this.executor = executor;
    }

    /** Returns at once; the caller's thread never runs the task. */
    @Override
    public void execute(Runnable task) {
        Runnable first = invoker.offer(task); // null where an earlier task will run it
        if (first != null) {
            runnable.add(first);
        }
        executor.execute(this::runAll);
    }

    private void runAll() {
        for (Runnable next = runnable.poll(); next != null; next = runnable.poll()) {
            next.run();
        }
    }
}
