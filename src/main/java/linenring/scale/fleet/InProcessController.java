package linenring.scale.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Instant;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import linenring.configuration.ControllerConfiguration;
import linenring.controller.ControlLoop;
import linenring.discovery.HostWatch;
import linenring.discovery.WatchConfig;
import linenring.event.EventQueue;
import linenring.log.Level;
import linenring.log.Log;
import linenring.protocol.Codec;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A controller in this process, without sockets for proxies and without a data plane. It runs the real control loop, and the
 * real host watch over loopback. Its processor time is the sum over its own threads.
 */
public final class InProcessController implements AutoCloseable {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final String name;
    private final ControllerConfiguration configuration;
    private final Scheduler scheduler;
    private final EventQueue events = new EventQueue();
    private final ListLedger ledger;
    private final Queue<Thread> threads = new ConcurrentLinkedQueue<>();
    private final ExecutorService executor;
    private final AtomicReference<String> failure = new AtomicReference<>();
    private final Codec codec;
    private HostWatch watch;
    private Thread thread;

    /** Creates a controller; {@code keepsLedger} records the lists that it receives, which takes time and memory. */
    public InProcessController(
            String name, ControllerConfiguration configuration, Scheduler scheduler, boolean keepsLedger) {
        this.name = name;
        this.configuration = configuration;
        this.scheduler = scheduler;
        ledger = keepsLedger ? new ListLedger() : null;
        codec = new Codec(configuration.names());
        ThreadFactory factory = task -> newThread(task, name + "-watch");
        executor = new ThreadPoolExecutor( // idle threads are kept, since the processor time of an ended thread is lost
                0, Integer.MAX_VALUE, 1, TimeUnit.HOURS, new SynchronousQueue<>(), factory);
        if (ledger != null) {
            events.addHostListListener(ledger::record);
        }
    }

    private Thread newThread(Runnable task, String threadName) {
        Thread created = new Thread(task, threadName);
        created.setDaemon(true);
        threads.add(created);
        return created;
    }

    /** Starts the control loop and the host watch. Throws what Jetty's start() throws. */
    public void open() throws Exception { // Jetty's start() declares Exception
        Log log = new Log(this::recordFault);
        thread = newThread(() -> runControlLoop(log), name);
        thread.start();
        WatchConfig config = new WatchConfig(
                configuration.discovery(),
                configuration.scope(),
                configuration.knownHosts().orElse(null),
                // it must not end the process, which it shares with other controllers
                reason -> log.error("controller", "a controller process would end: " + reason));
        watch = new HostWatch(config, codec, events, log, executor, scheduler);
        watch.open();
    }

    private void runControlLoop(Log log) {
        try {
            new ControlLoop(
                            configuration.plannerSettings(),
                            configuration.names(),
                            configuration.knownHosts().orElse(null),
                            events,
                            log)
                    .run();
        } catch (Throwable fatal) { // an OutOfMemoryError must fail the current point of the run instead of blocking it
            failure.compareAndSet(null, fatal.toString());
        }
    }

    private void recordFault(Instant time, Level level, String subject, String message, int suppressedLines) {
        if (subject.equals("fault")) {
            failure.compareAndSet(null, message);
        }
    }

    /** Returns the first failure, or null if there was none. */
    public String failure() {
        return failure.get();
    }

    /** Returns the event queue of the control loop. */
    public EventQueue events() {
        return events;
    }

    /** Returns the codec for the configured names. */
    public Codec codec() {
        return codec;
    }

    /** Returns the record of the received host lists, or null if they are not recorded. */
    public ListLedger ledger() {
        return ledger;
    }

    /** Returns the processor time used by the controller's threads. */
    public long processorNanos() {
        return threads.stream().mapToLong(InProcessController::processorNanos).sum();
    }

    private static long processorNanos(Thread thread) {
        return Math.max(0, THREADS.getThreadCpuTime(thread.getId())); // -1 after the thread has ended
    }

    @Override
    public void close() {
        thread.interrupt();
        try {
            watch.stop();
        } catch (Exception failed) { // Jetty's stop() declares Exception; the threads are stopped below in any case
            failure.compareAndSet(null, failed.toString());
        }
        executor.shutdownNow();
    }
}
