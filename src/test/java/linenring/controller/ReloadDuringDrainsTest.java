package linenring.controller;

import static linenring.controller.ControlLoopFixture.GRACE_MS;
import static linenring.controller.ControlLoopFixture.SOCKET_TOLERANCE_MS;
import static linenring.controller.ControlLoopFixture.STARTED_LONG_AGO;
import static linenring.controller.ControlLoopFixture.TRANSIT_MS;
import static linenring.controller.ControlLoopFixture.host;
import static linenring.controller.ControlLoopFixture.warmHosts;
import static linenring.discovery.AgentSocket.WAIT_SECONDS;
import static linenring.discovery.AgentSocket.accept;
import static linenring.discovery.AgentSocket.address;
import static linenring.discovery.AgentSocket.listen;
import static linenring.discovery.AgentSocket.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import linenring.discovery.HostWatch;
import linenring.discovery.WatchConfig;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.protocol.ServiceScope;
import linenring.settings.Names;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A reload on SIGHUP moves discovery to another address while drains are being sent. Like {@code ControllerLauncher.reload}, the test
 * calls {@link HostWatch#moveTo}. Two agents send host lists over loopback, and the test advances the control loop's clock.
 */
class ReloadDuringDrainsTest {
    private static final String RESPONSE_HEADER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int HOSTS = 24;
    private static final int PROXIES = 40;
    private static final int DRAINS = 6;
    private static final double MAX_QUEUED_ENTRIES = 280; // too few for all drains at once, so that some are deferred

    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(41, HOSTS), PROXIES, MAX_QUEUED_ENTRIES)
            .joinAll(PROXIES, true)
            .advance(20_000);
    private ServerSocket oldAgent;
    private ServerSocket newAgent;
    private HostWatch watch;
    private double announcedMs;

    @BeforeEach
    void startWatchingOldAgent() throws Exception {
        threads.start();
        scheduler.start();
        oldAgent = listen();
        newAgent = listen();
        WatchConfig config = new WatchConfig(address(oldAgent), ServiceScope.ALL, warmHosts(41, HOSTS), reason -> {
            throw new AssertionError(reason);
        });
        watch = new HostWatch(
                config,
                new Codec(new Names(List.of("a", "b", "c"), List.of("m1"), List.of("lookup"), PROXIES, 4)),
                fixture.eventQueue(),
                new Log(new PrintStream(OutputStream.nullOutputStream())),
                threads,
                scheduler);
        watch.open();
    }

    @AfterEach
    void close() throws Exception {
        watch.stop();
        oldAgent.close();
        newAgent.close();
        threads.stop();
        scheduler.stop();
    }

    /** The new address continues with changes from the current version of the host list. */
    @Test
    void drainsAreSentOnceAndInTimeIfTheNewAddressContinuesWithChanges() throws Exception {
        try (Socket oldConnection = accept(oldAgent, 41)) {
            announceDrainsAndCheckSomeAreDeferred(oldConnection);
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket newConnection = accept(newAgent, 42)) {
                write(newConnection, RESPONSE_HEADER + "1\r\n\n\r\n");
                fixture.advance(150);
                write(newConnection, listChunk(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                awaitList();
                fixture.advance(10_000);
            }
        }
        assertEjectedOnceAndInGrace(DRAINS + 1);
    }

    /** The new address starts with a complete list that is newer than the current one, with the same hosts draining. */
    @Test
    void drainsAreSentOnceAndInTimeIfTheNewAddressBeginsWithACompleteList() throws Exception {
        try (Socket oldConnection = accept(oldAgent, 41)) {
            announceDrainsAndCheckSomeAreDeferred(oldConnection);
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket newConnection = accept(newAgent, 42)) {
                write(newConnection, RESPONSE_HEADER + completeListChunk(44, DRAINS));
                awaitList();
                fixture.advance(10_000);
            }
        }
        assertEjectedOnceAndInGrace(DRAINS);
    }

    /** The complete list of the new address is older than the drains. An outdated list must not restore any draining host. */
    @Test
    void drainsAreKeptIfTheNewAddressHasAnOlderList() throws Exception {
        try (Socket oldConnection = accept(oldAgent, 41)) {
            announceDrainsAndCheckSomeAreDeferred(oldConnection);
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket newConnection = accept(newAgent, 42)) {
                write(newConnection, RESPONSE_HEADER + completeListChunk(41, 0));
                assertEquals(
                        -1,
                        oldConnection.getInputStream().read(),
                        "the old connection must be closed after the first list from the new address");
                fixture.advance(1000);
                // The new address catches up with the drains.
                write(newConnection, listChunk(42, false, IntStream.range(0, DRAINS), State.TERMINATING));
                write(newConnection, listChunk(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                double lastAnnouncedMs = fixture.nowMs();
                awaitList();
                fixture.advance(10_000);
                assertEquals(DRAINS + 1, fixture.proxies().get(0).ejected().size());
                assertTrue(fixture.proxies()
                                        .get(0)
                                        .ejectionTimesMs()
                                        .get("s-" + DRAINS)
                                        .get(0)
                                - lastAnnouncedMs
                        <= GRACE_MS);
            }
        }
        assertEjectedOnce(DRAINS + 1);
    }

    /**
     * Two reloads follow each other. The first address accepts the connection but sends nothing, so the old address continues to
     * announce drains.
     */
    @Test
    void drainsOfTheOldAddressBetweenTwoReloadsAreInTime() throws Exception {
        try (Socket oldConnection = accept(oldAgent, 41);
                ServerSocket silentAgent = listen()) {
            watch.moveTo(address(silentAgent), ServiceScope.ALL);
            try (Socket silentConnection = accept(silentAgent, 41)) {
                announceDrainsAndCheckSomeAreDeferred(oldConnection);
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                assertEquals(
                        -1,
                        silentConnection.getInputStream().read(),
                        "the connection to the first reload's address must be closed");
                try (Socket newConnection = accept(newAgent, 42)) {
                    write(oldConnection, listChunk(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                    awaitList();
                    fixture.advance(100);
                    write(
                            newConnection,
                            RESPONSE_HEADER
                                    + listChunk(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                    write(
                            newConnection,
                            listChunk(44, false, IntStream.range(DRAINS + 1, DRAINS + 2), State.TERMINATING));
                    awaitList();
                    fixture.advance(10_000);
                }
            }
        }
        assertEjectedOnceAndInGrace(DRAINS + 2);
    }

    private void announceDrainsAndCheckSomeAreDeferred(Socket oldConnection) throws Exception {
        write(oldConnection, RESPONSE_HEADER + listChunk(42, false, IntStream.range(0, DRAINS), State.TERMINATING));
        awaitList();
        announcedMs = fixture.nowMs();
        fixture.advance(ControlLoopFixture.STEP_MS);
        assertTrue(
                fixture.proxies().stream().anyMatch(proxy -> proxy.ejected().size() < DRAINS),
                "expected some drains to be deferred while discovery moves");
    }

    private void assertEjectedOnce(int drains) {
        TreeSet<String> expected = IntStream.range(0, drains)
                .mapToObj(number -> "s-" + number)
                .collect(Collectors.toCollection(TreeSet::new));
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(expected, proxy.ejected(), "proxy " + proxy.id());
            expected.forEach(host ->
                    assertEquals(1, proxy.ejectionTimesMs().get(host).size(), host + " must be ejected exactly once"));
            assertTrue(
                    proxy.restorationTimesMs().isEmpty(),
                    "no host may be restored, but were: " + proxy.restorationTimesMs());
        }
    }

    /** Checks all drains against one time limit, since all are announced within 200 ms of {@link #announcedMs}. */
    private void assertEjectedOnceAndInGrace(int drains) {
        assertEjectedOnce(drains);
        for (RecordingProxy proxy : fixture.proxies()) {
            proxy.ejectionTimesMs().forEach((host, times) -> {
                double delayMs = times.get(0) + TRANSIT_MS - announcedMs;
                assertTrue(
                        delayMs <= GRACE_MS + SOCKET_TOLERANCE_MS,
                        host + " was ejected at proxy " + proxy.id() + " " + delayMs + " ms after its announcement");
            });
        }
    }

    private void awaitList() throws InterruptedException {
        assertTrue(
                fixture.eventQueue().await(TimeUnit.SECONDS.toNanos(WAIT_SECONDS)),
                "the host list did not reach the event queue");
    }

    private static String completeListChunk(long version, int drains) {
        return listChunk(
                version,
                true,
                IntStream.range(0, HOSTS)
                        .mapToObj(number ->
                                host(number, number < drains ? State.TERMINATING : State.READY, STARTED_LONG_AGO))
                        .toList());
    }

    private static String listChunk(long version, boolean isComplete, IntStream hosts, State state) {
        return listChunk(
                version,
                isComplete,
                hosts.mapToObj(number -> host(number, state, STARTED_LONG_AGO)).toList());
    }

    /** Returns one line of a host watch response as an HTTP chunk. */
    private static String listChunk(long version, boolean isComplete, List<HostList.Entry> entries) {
        String servers = entries.stream()
                .map(entry -> "{\"id\":\"" + entry.host() + "\",\"zone\":\"" + "abc".charAt(entry.zone())
                        + "\",\"kind\":\"m1\",\"state\":\"" + (entry.state() == State.READY ? "Ready" : "Terminating")
                        + "\",\"weight\":1,\"started_ms\":0}")
                .collect(Collectors.joining(","));
        String line = "{\"version\":" + version + ",\"full\":" + isComplete + ",\"servers\":[" + servers + "]}\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }
}
