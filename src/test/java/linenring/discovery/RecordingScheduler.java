package linenring.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/** Scheduler that records the delays of its tasks and runs none of them. */
final class RecordingScheduler extends AbstractLifeCycle implements Scheduler {
    private final List<Long> delaysMs = new ArrayList<>();

    /** Delays of all tasks so far, in order. */
    List<Long> delaysMs() {
        return delaysMs;
    }

    @Override
    public Task schedule(Runnable task, long delay, TimeUnit unit) {
        delaysMs.add(unit.toMillis(delay));
        return () -> true;
    }
}
