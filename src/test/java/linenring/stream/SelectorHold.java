package linenring.stream;

import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/** Pauses a selector's thread while a test prepares the events that the selector will process. */
public final class SelectorHold {
    /** An action that runs while the selector is paused. */
    public interface Action {
        /** Runs the action; the selector is paused until the action returns or calls {@link SelectorHold#release}. */
        void run(SelectorHold hold) throws Exception;
    }

    private final CountDownLatch resume = new CountDownLatch(1);

    private SelectorHold() {}

    /** Runs the action while the manager's selector is paused. */
    public static void during(SelectorManager manager, Action action) throws Exception {
        SelectorHold hold = new SelectorHold();
        CountDownLatch paused = new CountDownLatch(1);
        manager.getBeans(ManagedSelector.class).iterator().next().submit(selector -> {
            paused.countDown();
            try {
                hold.resume.await();
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
            }
        });
        paused.await();
        try {
            action.run(hold);
        } finally {
            hold.release();
        }
    }

    /** Resumes the selector; a second call has no effect. */
    public void release() {
        resume.countDown();
    }
}
