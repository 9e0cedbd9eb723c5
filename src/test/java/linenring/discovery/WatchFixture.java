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

/** Creates watches with a simulated clock, and collects the lists that they queue and the hosts that result from them. */
abstract class WatchFixture {
    static final ServiceScope SCOPE_ONE = ServiceScope.of(List.of("svc-1"));
    static final ServiceScope SCOPE_TWO = ServiceScope.of(List.of("svc-2"));
    static final ServiceScope SCOPE_WITHOUT_HOSTS = ServiceScope.of(List.of("svc-none"));

    private static final InetSocketAddress UNUSED_ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 8500);

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true, StandardCharsets.UTF_8));
    private final Codec codec = new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4));
    private final RecordingScheduler recordingScheduler = new RecordingScheduler();
    private final AtomicLong clockNanos =
            new AtomicLong(Long.MAX_VALUE - TimeUnit.HOURS.toNanos(1)); // the clock overflows during tests
    private final List<String> capacityFailures = new ArrayList<>();
    private final TreeMap<String, HostList.State> currentHosts = new TreeMap<>();
    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final List<HostWatch> openWatches = new ArrayList<>();

    @BeforeEach
    void startThreads() throws Exception {
        threads.start();
        scheduler.start();
    }

    @AfterEach
    void stopThreads() throws Exception {
        for (HostWatch watch : openWatches) {
            watch.stop();
        }
        threads.stop();
        scheduler.stop();
        assertEquals(List.of(), capacityFailures, "capacity failures that the test did not expect");
    }

    /** Creates a watch that never dials, for use with {@link InMemoryAgent}. */
    HostWatch createWatch(ServiceScope scope, HostList initialList, int maxHosts) {
        return createWatch(UNUSED_ADDRESS, scope, initialList, maxHosts, Runnable::run, recordingScheduler);
    }

    /** Creates a watch that never dials, of all services and with an empty initial list of this version. */
    HostWatch createWatch(long version) {
        return createWatch(ServiceScope.ALL, new HostList(version, true, List.of()), Integer.MAX_VALUE);
    }

    /** Opens a watch that dials this agent over loopback. */
    HostWatch openWatch(ServerSocket agent, ServiceScope scope, HostList initialList) throws Exception {
        HostWatch watch = createWatch(address(agent), scope, initialList, Integer.MAX_VALUE, threads, scheduler);
        openWatches.add(watch);
        watch.open();
        return watch;
    }

    /** Opens a watch of all services that dials this agent, with an empty initial list of version 41. */
    HostWatch openWatch(ServerSocket agent) throws Exception {
        return openWatch(agent, ServiceScope.ALL, new HostList(41, true, List.of()));
    }

    private HostWatch createWatch(
            InetSocketAddress address,
            ServiceScope scope,
            HostList initialList,
            int maxHosts,
            Executor executor,
            Scheduler timer) {
        if (initialList != null) {
            apply(initialList);
        }
        WatchConfig config =
                new WatchConfig(address, scope, initialList, capacityFailures::add, maxHosts, clockNanos::get);
        return new HostWatch(config, codec, eventQueue, log, executor, timer);
    }

    static HostList initialList(ServiceScope scope, String... ids) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(new HostList.Entry(id, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY));
        }
        return new HostList(41, true, entries, InvalidEntries.NONE, scope, 0);
    }

    /** Backoff delays of the attempts so far, for watches that never dial. */
    List<Long> backoffDelaysMs() {
        return recordingScheduler.delaysMs();
    }

    /** Returns and clears the notifications of the capacity listener; after each test none may be left. */
    List<String> takeCapacityFailures() {
        List<String> notifications = List.copyOf(capacityFailures);
        capacityFailures.clear();
        return notifications;
    }

    void advanceNanos(long nanos) {
        clockNanos.addAndGet(nanos);
    }

    void addHostListListener(Consumer<HostList> follower) {
        eventQueue.addHostListListener(follower);
    }

    private RecordingEventHandler drainQueue() {
        RecordingEventHandler handler = new RecordingEventHandler();
        eventQueue.drainTo(handler);
        return handler;
    }

    /** Returns the versions of the lists that were queued since the last call. */
    List<Long> takeAppliedVersions() {
        return drainQueue().versions();
    }

    /** Waits for the next list, which has to have this version. */
    void awaitVersion(long version) throws InterruptedException {
        assertTrue(
                eventQueue.await(TimeUnit.SECONDS.toNanos(WAIT_SECONDS)),
                "list version " + version + " did not arrive");
        assertEquals(List.of(version), takeAppliedVersions());
    }

    private void apply(HostList list) {
        if (list.isComplete()
                && list.invalidEntries()
                        .isEmpty()) { // as the controller does for a complete list without invalid entries
            currentHosts.clear();
        }
        for (HostList.Entry entry : list.entries()) {
            if (entry.state() == HostList.State.GONE) {
                currentHosts.remove(entry.host());
            } else {
                currentHosts.put(entry.host(), entry.state());
            }
        }
    }

    /** Returns the hosts that result from all queued lists. */
    String currentHosts() {
        drainQueue().lists().forEach(this::apply);
        return String.join(" ", new TreeSet<>(currentHosts.keySet()));
    }

    /** State of the host at the last call of {@link #currentHosts()}. */
    HostList.State hostState(String host) {
        return currentHosts.get(host);
    }

    void awaitHosts(String expected) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!currentHosts().equals(expected)) {
            assertTrue(System.nanoTime() < deadlineNanos, "expected hosts " + expected + ", found " + currentHosts());
            eventQueue.await(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    String logText() {
        return logged.toString(StandardCharsets.UTF_8);
    }

    void awaitLog(String part) {
        awaitLog(part, 1);
    }

    /** Waits until this text occurs {@code times} times in the log. */
    void awaitLog(String part, int times) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (logText().split(java.util.regex.Pattern.quote(part), -1).length <= times) {
            assertTrue(System.nanoTime() < deadlineNanos, "not logged in time: " + part + "\n" + logText());
            Thread.onSpinWait();
        }
    }
}
