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
 * A controller without sockets for proxies and without a data plane: the real planner and fleet state, and the real host watch
 * over loopback. Its processor time is that of its own threads.
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

    /** With a record of the lists it receives if {@code keepsLedger}, which costs time and memory. */
    public InProcessController(
            String name, ControllerConfiguration configuration, Scheduler scheduler, boolean keepsLedger) {
        this.name = name;
        this.configuration = configuration;
        this.scheduler = scheduler;
        ledger = keepsLedger ? new ListLedger() : null;
        codec = new Codec(configuration.names());
        ThreadFactory factory = task -> named(task, name + "-watch");
        executor = new ThreadPoolExecutor( // threads are kept, since the processor time of an ended one is lost
                0, Integer.MAX_VALUE, 1, TimeUnit.HOURS, new SynchronousQueue<>(), factory);
        if (ledger != null) {
            events.addHostListListener(ledger::listed);
        }
    }

    private Thread named(Runnable task, String threadName) {
        Thread created = new Thread(task, threadName);
        created.setDaemon(true);
        threads.add(created);
        return created;
    }

    /** Starts the control loop and the host watch. */
    public void open() throws Exception { // Jetty's start() may throw any
        Log log = new Log(this::logged);
        thread = named(() -> decide(log), name);
        thread.start();
        WatchConfig config = new WatchConfig(
                configuration.discovery(),
                configuration.scope(),
                configuration.knownHosts().orElse(null),
                reason -> log.error("controller", "would end: " + reason)); // it shares its process with others
        watch = new HostWatch(config, codec, events, log, executor, scheduler);
        watch.open();
    }

    private void decide(Log log) {
        try {
            new ControlLoop(
                            configuration.plannerSettings(),
                            configuration.names(),
                            configuration.knownHosts().orElse(null),
                            events,
                            log)
                    .run();
        } catch (Throwable fatal) { // above all OutOfMemoryError, which must fail this point of the run and not hang it
            failure.compareAndSet(null, fatal.toString());
        }
    }

    private void logged(Instant time, Level level, String subject, String message, int suppressedLines) {
        if (subject.equals("fault")) {
            failure.compareAndSet(null, message);
        }
    }

    /** What went wrong first, or null. */
    public String failure() {
        return failure.get();
    }

    /** The queue into its control loop. */
    public EventQueue events() {
        return events;
    }

    /** The codec for its names. */
    public Codec codec() {
        return codec;
    }

    /** The lists that it received, or null if they are not recorded. */
    public ListLedger ledger() {
        return ledger;
    }

    /** Processor time of its threads so far. */
    public long processorNanos() {
        return threads.stream().mapToLong(InProcessController::processorNanos).sum();
    }

    private static long processorNanos(Thread thread) {
        return Math.max(0, THREADS.getThreadCpuTime(thread.getId())); // -1 once it has ended
    }

    @Override
    public void close() {
        thread.interrupt();
        try {
            watch.stop();
        } catch (Exception failed) { // stop() may throw any; its threads are ended below all the same
            failure.compareAndSet(null, failed.toString());
        }
        executor.shutdownNow();
    }
}
