package linenring.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/** Records delays and runs nothing. */
final class RecordingScheduler extends AbstractLifeCycle implements Scheduler {
    private final List<Long> delaysMs = new ArrayList<>();

    /** Of all tasks so far, in order. */
    List<Long> delaysMs() {
        return delaysMs;
    }

    @Override
    public Task schedule(Runnable task, long delay, TimeUnit unit) {
        delaysMs.add(unit.toMillis(delay));
        return () -> true;
    }
}
