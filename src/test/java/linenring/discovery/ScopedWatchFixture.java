package linenring.discovery;

import static linenring.discovery.AgentFixture.agent;
import static linenring.discovery.AgentFixture.at;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import linenring.discovery.AgentFixture.Waits;
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

/** A watch under a scope, and the hosts as a follower of its exchange has them. */
abstract class ScopedWatchFixture {
    static final ServiceScope ONE = ServiceScope.of(List.of("svc-1"));
    static final ServiceScope TWO = ServiceScope.of(List.of("svc-2"));
    static final ServiceScope NOBODY = ServiceScope.of(List.of("svc-none"));

    final EventQueue exchange = new EventQueue();
    final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    final Log log = new Log(new PrintStream(logged, true));
    final Codec codec = new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4));
    final Waits waits = new Waits();
    final AtomicLong nanos = new AtomicLong();
    final List<String> ends = new ArrayList<>();
    final TreeMap<String, HostList.State> hosts = new TreeMap<>(); // as a follower of the exchange has them
    final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();

    @BeforeEach
    void start() throws Exception {
        threads.start();
        scheduler.start();
    }

    @AfterEach
    void stop() throws Exception {
        threads.stop();
        scheduler.stop();
    }

    HostWatch watch(
            InetSocketAddress at, ServiceScope scope, HostList known, int most, Executor executor, Scheduler timer) {
        if (known != null) {
            take(known);
        }
        return new HostWatch(at, scope, known, codec, exchange, log, executor, timer, ends::add, most, nanos::get);
    }

    /** One whose agents are handed their bytes, and which never dials. */
    HostWatch watch(ServiceScope scope, HostList known, int most) {
        return watch(new InetSocketAddress("127.0.0.1", 8500), scope, known, most, Runnable::run, waits);
    }

    HostWatch dialling(ServerSocket agent, ServiceScope scope, HostList known) throws Exception {
        HostWatch watch = watch(at(agent), scope, known, Integer.MAX_VALUE, threads, scheduler);
        watch.open();
        return watch;
    }

    static HostList known(ServiceScope scope, String... ids) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(new HostList.Entry(id, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY));
        }
        return new HostList(41, true, entries, InvalidEntries.NONE, scope, 0);
    }

    /** One entry: id, service (empty: none) and state, a space between. */
    static String entry(String told) {
        String[] words = told.split(" ");
        String service = words[1].isEmpty() ? "" : ",\"service\":\"" + words[1] + "\"";
        return "{\"id\":\"" + words[0] + "\",\"zone\":\"a\",\"kind\":\"m1\",\"state\":\"" + words[2] + "\"" + service
                + "}";
    }

    static String list(long version, boolean whole, String... entries) {
        List<String> all = new ArrayList<>();
        for (String e : entries) {
            all.add(entry(e));
        }
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + String.join(",", all) + "]}\n";
    }

    static String body(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    void take(HostList list) {
        if (list.isComplete() && list.invalidEntries().isEmpty()) { // as the steward does
            hosts.clear();
        }
        for (HostList.Entry e : list.entries()) {
            if (e.state() == HostList.State.GONE) {
                hosts.remove(e.host());
            } else {
                hosts.put(e.host(), e.state());
            }
        }
    }

    /** The hosts as whoever follows the exchange has them now. */
    String hosts() {
        RecordingEventHandler taker = new RecordingEventHandler();
        exchange.drainTo(taker);
        taker.lists().forEach(this::take);
        return String.join(" ", new TreeSet<>(hosts.keySet()));
    }

    void awaitHosts(String expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!hosts().equals(expected)) {
            assertTrue(System.nanoTime() < end, expected + " expected, and there are: " + hosts());
            exchange.await(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    void awaitLog(String words) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!logged.toString().contains(words)) {
            assertTrue(System.nanoTime() < end, words + "\n" + logged);
            Thread.onSpinWait();
        }
    }
}
