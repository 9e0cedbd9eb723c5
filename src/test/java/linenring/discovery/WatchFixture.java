package linenring.discovery;

import static linenring.discovery.AgentSocket.WAIT_SECONDS;
import static linenring.discovery.AgentSocket.address;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import linenring.event.EventQueue;
import linenring.event.RecordingEventHandler;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.protocol.InvalidEntries;
import linenring.protocol.ServiceScope;
import linenring.settings.Names;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Watches whose clock is the test's, what they put into the event queue, and the hosts as whoever follows it has them. */
abstract class WatchFixture {
    static final ServiceScope ONE = ServiceScope.of(List.of("svc-1"));
    static final ServiceScope TWO = ServiceScope.of(List.of("svc-2"));
    static final ServiceScope NOBODY = ServiceScope.of(List.of("svc-none"));

    private static final InetSocketAddress NEVER_DIALLED =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 8500);

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true, StandardCharsets.UTF_8));
    private final Codec codec = new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4));
    private final RecordingScheduler recordingScheduler = new RecordingScheduler();
    private final AtomicLong clockNanos = new AtomicLong(Long.MAX_VALUE - TimeUnit.HOURS.toNanos(1)); // it wraps
    private final List<String> capacityFailures = new ArrayList<>();
    private final TreeMap<String, HostList.State> hosts = new TreeMap<>();
    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final List<HostWatch> started = new ArrayList<>();

    @BeforeEach
    void startThreads() throws Exception {
        threads.start();
        scheduler.start();
    }

    @AfterEach
    void stopThreads() throws Exception {
        for (HostWatch watch : started) {
            watch.stop();
        }
        threads.stop();
        scheduler.stop();
        assertEquals(List.of(), capacityFailures, "capacity failures that the test did not expect");
    }

    /** One whose agents are handed their bytes, and which never dials. */
    HostWatch watch(ServiceScope scope, HostList known, int maxHosts) {
        return watch(NEVER_DIALLED, scope, known, maxHosts, Runnable::run, recordingScheduler);
    }

    /** The same under all services, with an empty list of this version. */
    HostWatch watch(long version) {
        return watch(ServiceScope.ALL, new HostList(version, true, List.of()), Integer.MAX_VALUE);
    }

    /** One that dials over loopback. */
    HostWatch dialling(ServerSocket agent, ServiceScope scope, HostList known) throws Exception {
        HostWatch watch = watch(address(agent), scope, known, Integer.MAX_VALUE, threads, scheduler);
        started.add(watch);
        watch.open();
        return watch;
    }

    /** The same under all services, with an empty list of version 41. */
    HostWatch dialling(ServerSocket agent) throws Exception {
        return dialling(agent, ServiceScope.ALL, new HostList(41, true, List.of()));
    }

    private HostWatch watch(
            InetSocketAddress address,
            ServiceScope scope,
            HostList known,
            int maxHosts,
            Executor executor,
            Scheduler timer) {
        if (known != null) {
            apply(known);
        }
        WatchConfig config = new WatchConfig(address, scope, known, capacityFailures::add, maxHosts, clockNanos::get);
        return new HostWatch(config, codec, eventQueue, log, executor, timer);
    }

    static HostList known(ServiceScope scope, String... ids) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(new HostList.Entry(id, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY));
        }
        return new HostList(41, true, entries, InvalidEntries.NONE, scope, 0);
    }

    /** Of the attempts so far, at watches that never dial. */
    List<Long> delaysMs() {
        return recordingScheduler.delaysMs();
    }

    /** What the capacity listener was notified of since the last call; a test that expects nothing need not ask. */
    List<String> drainCapacityFailures() {
        List<String> drained = List.copyOf(capacityFailures);
        capacityFailures.clear();
        return drained;
    }

    void advanceNanos(long nanos) {
        clockNanos.addAndGet(nanos);
    }

    void follow(Consumer<HostList> follower) {
        eventQueue.addHostListListener(follower);
    }

    private RecordingEventHandler drain() {
        RecordingEventHandler handler = new RecordingEventHandler();
        eventQueue.drainTo(handler);
        return handler;
    }

    /** Of the lists that have come since the last call. */
    List<Long> versions() {
        return drain().versions();
    }

    /** Waits for the next list, which has to be of this version. */
    void awaitVersion(long version) throws InterruptedException {
        assertTrue(eventQueue.await(TimeUnit.SECONDS.toNanos(WAIT_SECONDS)), "version " + version + " arrives");
        assertEquals(List.of(version), versions());
    }

    private void apply(HostList list) {
        if (list.isComplete() && list.invalidEntries().isEmpty()) { // as the controller does
            hosts.clear();
        }
        for (HostList.Entry entry : list.entries()) {
            if (entry.state() == HostList.State.GONE) {
                hosts.remove(entry.host());
            } else {
                hosts.put(entry.host(), entry.state());
            }
        }
    }

    /** The hosts as whoever follows the event queue has them now. */
    String hosts() {
        drain().lists().forEach(this::apply);
        return String.join(" ", new TreeSet<>(hosts.keySet()));
    }

    /** As of the last call of {@link #hosts()}. */
    HostList.State state(String host) {
        return hosts.get(host);
    }

    void awaitHosts(String expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!hosts().equals(expected)) {
            assertTrue(System.nanoTime() < end, expected + " expected, and there are: " + hosts());
            eventQueue.await(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    String logText() {
        return logged.toString(StandardCharsets.UTF_8);
    }

    void awaitLog(String part) {
        awaitLog(part, 1);
    }

    /** Waits until the log has this part {@code times} times. */
    void awaitLog(String part, int times) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (logText().split(java.util.regex.Pattern.quote(part), -1).length <= times) {
            assertTrue(System.nanoTime() < end, part + "\n" + logText());
            Thread.onSpinWait();
        }
    }
}
