package linenring.controller;

import static linenring.controller.ControlLoopFixture.GRACE_MS;
import static linenring.controller.ControlLoopFixture.LONG_AGO;
import static linenring.controller.ControlLoopFixture.SOCKET_SLACK_MS;
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
 * SIGHUP moves discovery (as {@code ControllerLauncher.reload} does, by {@link HostWatch#moveTo}) while drains are being sent: lists come over
 * loopback from two agents, the control loop's clock is the test's.
 */
class ReloadDuringDrainsTest {
    private static final String ANSWER_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int HOSTS = 24;
    private static final int PROXIES = 40;
    private static final int DRAINS = 6;
    private static final double MAX_QUEUED_ENTRIES = 280; // the drains find no room together, so that some wait

    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(41, HOSTS), PROXIES, MAX_QUEUED_ENTRIES)
            .joinAll(PROXIES, true)
            .pass(20_000);
    private ServerSocket oldAgent;
    private ServerSocket newAgent;
    private HostWatch watch;
    private double announcedMs;

    @BeforeEach
    void watchTheOldAgent() throws Exception {
        threads.start();
        scheduler.start();
        oldAgent = listen();
        newAgent = listen();
        WatchConfig config = new WatchConfig(address(oldAgent), ServiceScope.ALL, warmHosts(41, HOSTS), why -> {
            throw new AssertionError(why);
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

    /** The new address goes on with changes from the version held. */
    @Test
    void drainsAreSentOnceAndInTimeIfTheNewAddressGoesOnWithChanges() throws Exception {
        try (Socket old = accept(oldAgent, 41)) {
            announceDrains(old);
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket moved = accept(newAgent, 42)) {
                write(moved, ANSWER_HEAD + "1\r\n\n\r\n");
                fixture.pass(150);
                write(moved, list(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                awaitList();
                fixture.pass(10_000);
            }
        }
        assertSentOnceAndInGrace(DRAINS + 1);
    }

    /** The new address begins with its complete list, newer than what is held, in which the same hosts drain. */
    @Test
    void drainsAreSentOnceAndInTimeIfTheNewAddressBeginsWithACompleteList() throws Exception {
        try (Socket old = accept(oldAgent, 41)) {
            announceDrains(old);
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket moved = accept(newAgent, 42)) {
                write(moved, ANSWER_HEAD + completeWithDrains(44, DRAINS));
                awaitList();
                fixture.pass(10_000);
            }
        }
        assertSentOnceAndInGrace(DRAINS);
    }

    /** Its complete list is from before the drains: what is older than what is held restores none of them. */
    @Test
    void drainsStayIfTheNewAddressIsBehind() throws Exception {
        try (Socket old = accept(oldAgent, 41)) {
            announceDrains(old);
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket moved = accept(newAgent, 42)) {
                write(moved, ANSWER_HEAD + completeWithDrains(41, 0));
                assertEquals(-1, old.getInputStream().read(), "it has spoken");
                fixture.pass(1000);
                write(moved, list(42, false, IntStream.range(0, DRAINS), State.TERMINATING)); // it catches up
                write(moved, list(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                double lastAnnouncedMs = fixture.now();
                awaitList();
                fixture.pass(10_000);
                assertEquals(DRAINS + 1, fixture.proxies().get(0).ejected().size());
                assertTrue(
                        fixture.proxies().get(0).ejectedAt().get("s-" + DRAINS).get(0) - lastAnnouncedMs <= GRACE_MS);
            }
        }
        assertSentOnce(DRAINS + 1);
    }

    /** Two reloads in a row, the first to an address that accepts and says nothing: the old one goes on to announce drains. */
    @Test
    void drainsOfTheOldAddressBetweenTwoReloadsAreInTime() throws Exception {
        try (Socket old = accept(oldAgent, 41);
                ServerSocket muteAgent = listen()) {
            watch.moveTo(address(muteAgent), ServiceScope.ALL);
            try (Socket mute = accept(muteAgent, 41)) {
                announceDrains(old);
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                assertEquals(-1, mute.getInputStream().read(), "the first reload's address is left");
                try (Socket moved = accept(newAgent, 42)) {
                    write(old, list(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                    awaitList();
                    fixture.pass(100);
                    write(moved, ANSWER_HEAD + list(43, false, IntStream.range(DRAINS, DRAINS + 1), State.TERMINATING));
                    write(moved, list(44, false, IntStream.range(DRAINS + 1, DRAINS + 2), State.TERMINATING));
                    awaitList();
                    fixture.pass(10_000);
                }
            }
        }
        assertSentOnceAndInGrace(DRAINS + 2);
    }

    private void announceDrains(Socket old) throws Exception {
        write(old, ANSWER_HEAD + list(42, false, IntStream.range(0, DRAINS), State.TERMINATING));
        awaitList();
        announcedMs = fixture.now();
        fixture.pass(ControlLoopFixture.STEP_MS);
        assertTrue(
                fixture.proxies().stream().anyMatch(proxy -> proxy.ejected().size() < DRAINS),
                "some of the drains wait while discovery moves");
    }

    private void assertSentOnce(int drains) {
        TreeSet<String> expected = IntStream.range(0, drains)
                .mapToObj(number -> "s-" + number)
                .collect(Collectors.toCollection(TreeSet::new));
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(expected, proxy.ejected(), "proxy " + proxy.id());
            expected.forEach(host -> assertEquals(1, proxy.ejectedAt().get(host).size(), host + " is ejected once"));
            assertTrue(proxy.restoredAt().isEmpty(), "none is restored: " + proxy.restoredAt());
        }
    }

    /** All drains are announced within 200 ms of {@link #announcedMs}, so that one limit does for all. */
    private void assertSentOnceAndInGrace(int drains) {
        assertSentOnce(drains);
        for (RecordingProxy proxy : fixture.proxies()) {
            proxy.ejectedAt().forEach((host, times) -> {
                double late = times.get(0) + TRANSIT_MS - announcedMs;
                assertTrue(late <= GRACE_MS + SOCKET_SLACK_MS, host + " at proxy " + proxy.id() + " after " + late);
            });
        }
    }

    private void awaitList() throws InterruptedException {
        assertTrue(
                fixture.eventQueue().await(TimeUnit.SECONDS.toNanos(WAIT_SECONDS)), "the list reaches the event queue");
    }

    private static String completeWithDrains(long version, int drains) {
        return list(
                version,
                true,
                IntStream.range(0, HOSTS)
                        .mapToObj(number -> host(number, number < drains ? State.TERMINATING : State.READY, LONG_AGO))
                        .toList());
    }

    private static String list(long version, boolean whole, IntStream hosts, State state) {
        return list(
                version,
                whole,
                hosts.mapToObj(number -> host(number, state, LONG_AGO)).toList());
    }

    /** One line of a watch, as a chunk. */
    private static String list(long version, boolean whole, List<HostList.Entry> entries) {
        String servers = entries.stream()
                .map(entry -> "{\"id\":\"" + entry.host() + "\",\"zone\":\"" + "abc".charAt(entry.zone())
                        + "\",\"kind\":\"m1\",\"state\":\"" + (entry.state() == State.READY ? "Ready" : "Terminating")
                        + "\",\"weight\":1,\"started_ms\":0}")
                .collect(Collectors.joining(","));
        String line = "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + servers + "]}\n";
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }
}
