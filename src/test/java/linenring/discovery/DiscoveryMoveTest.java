package linenring.discovery;

import static linenring.discovery.AgentFixture.chunk;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linenring.event.EventQueue;
import linenring.event.RecordingEventHandler;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import linenring.settings.Names;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Discovery moves to another address while the old one still tells changes; over loopback. */
class DiscoveryMoveTest {
    private static final String ANSWER_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final EventQueue exchange = new EventQueue();
    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
    private final Codec codec = new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4));

    @BeforeEach
    void startThreads() throws Exception {
        threads.start();
        scheduler.start();
    }

    @AfterEach
    void stopThreads() throws Exception {
        threads.stop();
        scheduler.stop();
    }

    /**
     * The old address has written a drain, which counts as told from then on, and the new one, which is behind, speaks before
     * that is read. Which of the two sockets is read first is the selector's choice: hence several rounds.
     */
    @Test
    void takesWhatTheOldAddressHadWrittenBeforeTheNewOneSpoke() throws Exception {
        for (int round = 0; round < 12; round++) {
            moveWithAnUnreadChange();
        }
    }

    private void moveWithAnUnreadChange() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = watch(oldAgent);
            watch.open();
            try (Socket old = accept(oldAgent, 41)) {
                write(old, ANSWER_HEAD + change(42));
                awaitVersion(42);
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                try (Socket moved = accept(newAgent, 42)) {
                    CountDownLatch resume = holdSelector(watch);
                    write(old, change(43));
                    write(moved, ANSWER_HEAD + chunk("\n"));
                    TimeUnit.MILLISECONDS.sleep(5); // loopback: both have arrived, and wait to be read
                    resume.countDown();
                    assertEquals(-1, old.getInputStream().read(), "the old address is left");
                    awaitVersion(43);
                }
            } finally {
                watch.stop();
            }
        }
    }

    /** Its connection ends with unread changes in it; the next attempt at the same address asks from the version held. */
    @Test
    void asksAgainFromTheVersionHeldWhereTheOldAddressBreaksDuringTheMove() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = watch(oldAgent);
            watch.open();
            try (Socket old = accept(oldAgent, 41)) {
                write(old, ANSWER_HEAD + change(42));
                awaitVersion(42);
            }
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket moved = accept(newAgent, 42);
                    Socket again = accept(oldAgent, 42)) { // the new address has said nothing: the old one serves still
                write(again, ANSWER_HEAD + change(43));
                awaitVersion(43);
                write(moved, ANSWER_HEAD + change(43) + change(44));
                awaitVersion(44); // and 43 is told once
                assertEquals(-1, again.getInputStream().read());
            } finally {
                watch.stop();
            }
        }
    }

    /** From version 41 on. */
    private HostWatch watch(ServerSocket agent) {
        return new HostWatch(
                address(agent),
                ServiceScope.ALL,
                new HostList(41, true, List.of()),
                codec,
                exchange,
                new Log(new PrintStream(OutputStream.nullOutputStream())),
                threads,
                scheduler,
                why -> {
                    throw new AssertionError(why);
                });
    }

    private static CountDownLatch holdSelector(HostWatch watch) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1), resume = new CountDownLatch(1);
        watch.getBeans(ManagedSelector.class).iterator().next().submit(selector -> {
            held.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        return resume;
    }

    private static String change(long version) {
        return chunk("{\"version\":" + version + ",\"full\":false,\"servers\":[{\"id\":\"s-1\",\"zone\":\"a\","
                + "\"kind\":\"m1\",\"state\":\"Terminating\"}]}\n");
    }

    private void awaitVersion(long version) throws InterruptedException {
        assertTrue(
                exchange.await(TimeUnit.SECONDS.toNanos(WAIT_SECONDS)), "version " + version + " reaches the exchange");
        RecordingEventHandler taker = new RecordingEventHandler();
        exchange.drainTo(taker);
        assertEquals(List.of(version), taker.versions());
    }
}
