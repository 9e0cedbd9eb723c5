package linenring.stream;

import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/** Makes a selector's thread stand still while a test arranges what it will find. */
public final class SelectorHold {
    /** What happens while the selector stands. */
    public interface Action {
        /** Runs with the selector standing, until it returns or calls {@link SelectorHold#release}. */
        void run(SelectorHold hold) throws Exception;
    }

    private final CountDownLatch resume = new CountDownLatch(1);

    private SelectorHold() {}

    /** Runs the action with the manager's selector standing still. */
    public static void during(SelectorManager manager, Action action) throws Exception {
        SelectorHold hold = new SelectorHold();
        CountDownLatch held = new CountDownLatch(1);
        manager.getBeans(ManagedSelector.class).iterator().next().submit(selector -> {
            held.countDown();
            try {
                hold.resume.await();
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        try {
            action.run(hold);
        } finally {
            hold.release();
        }
    }

    /** The selector goes on; a second call changes nothing. */
    public void release() {
        resume.countDown();
    }
}
