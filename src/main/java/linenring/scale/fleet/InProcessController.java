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
import linenring.event.EventQueue;
import linenring.log.Level;
import linenring.log.Log;
import linenring.protocol.Codec;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A steward without sockets for proxies and without a data plane: the real planner and fleet state, and the real host watch
 * over loopback. Its processor time is that of its own threads.
 */
public final class InProcessController implements AutoCloseable {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final String name;
    private final ControllerConfiguration assignment;
    private final Scheduler scheduler;
    private final EventQueue exchange = new EventQueue();
    private final ListLedger ledger;
    private final Queue<Thread> threads = new ConcurrentLinkedQueue<>();
    private final ExecutorService executor;
    private final AtomicReference<String> failure = new AtomicReference<>();
    private final Codec codec;
    private HostWatch watch;
    private Thread thread;

    /** With a ledger of what it is told where {@code keepsLedger}, which costs time and memory. */
    public InProcessController(
            String name, ControllerConfiguration assignment, Scheduler scheduler, boolean keepsLedger) {
        this.name = name;
        this.assignment = assignment;
        this.scheduler = scheduler;
        ledger = keepsLedger ? new ListLedger() : null;
        codec = new Codec(assignment.names());
        ThreadFactory factory = task -> named(task, name + "-watch");
        executor = new ThreadPoolExecutor( // threads stay, as the time of those that end is not known any more
                0, Integer.MAX_VALUE, 1, TimeUnit.HOURS, new SynchronousQueue<>(), factory);
        if (ledger != null) {
            exchange.addHostListListener(ledger::listed);
        }
    }

    private Thread named(Runnable task, String as) {
        Thread made = new Thread(task, as);
        made.setDaemon(true);
        threads.add(made);
        return made;
    }

    /** Starts to decide and to watch the catalogue. */
    public void open() throws Exception { // Jetty's start() may throw any
        Log log = new Log(this::logged);
        thread = named(() -> decide(log), name);
        thread.start();
        watch = new HostWatch(
                assignment.discovery(),
                assignment.scope(),
                assignment.known(),
                codec,
                exchange,
                log,
                executor,
                scheduler,
                why -> log.error("steward", "would end: " + why)); // one of many in its process
        watch.open();
    }

    private void decide(Log log) {
        try {
            new ControlLoop(assignment.figures(), assignment.names(), assignment.known(), exchange, log).run();
        } catch (Throwable e) { // memory above all: it ends this steward and is told
            failure.compareAndSet(null, e.toString());
        }
    }

    private void logged(Instant at, Level level, String subject, String words, int held) {
        if (subject.equals("fault")) {
            failure.compareAndSet(null, words);
        }
    }

    /** What went wrong first, or null. */
    public String failure() {
        return failure.get();
    }

    public EventQueue exchange() {
        return exchange;
    }

    public Codec codec() {
        return codec;
    }

    /** What it was told, or null where no ledger is kept. */
    public ListLedger ledger() {
        return ledger;
    }

    /** Processor time of its threads so far, in ns. */
    public long processorNanos() {
        return threads.stream().mapToLong(InProcessController::processorNanos).sum();
    }

    /** Processor time of the thread that decides alone, in ns. */
    public long decidingNanos() {
        return processorNanos(thread);
    }

    private static long processorNanos(Thread thread) {
        return Math.max(0, THREADS.getThreadCpuTime(thread.getId())); // -1 once it has ended
    }

    @Override
    public void close() {
        thread.interrupt();
        try {
            watch.stop();
        } catch (Exception e) { // stop() may throw any; the steward is done with all the same
            failure.compareAndSet(null, e.toString());
        }
        executor.shutdownNow();
    }
}
