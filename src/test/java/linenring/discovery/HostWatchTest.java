package linenring.discovery;

import static linenring.discovery.AgentFixture.OK;
import static linenring.discovery.AgentFixture.agent;
import static linenring.discovery.AgentFixture.answer;
import static linenring.discovery.AgentFixture.asked;
import static linenring.discovery.AgentFixture.at;
import static linenring.discovery.AgentFixture.chunk;
import static linenring.discovery.AgentFixture.list;
import static linenring.discovery.AgentFixture.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import linenring.discovery.AgentFixture.Agent;
import linenring.discovery.AgentFixture.Waits;
import linenring.event.EventQueue;
import linenring.event.RecordingEventHandler;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import linenring.settings.Names;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

class HostWatchTest {
    private static final CapacityListener NO_END = why -> {
        throw new AssertionError(why);
    };

    private final EventQueue exchange = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true));
    private final Codec codec = new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4));
    private final Waits waits = new Waits();

    private HostWatch watch(long version) {
        HostList known = version < 0 ? null : new HostList(version, true, List.of());
        return new HostWatch(
                new InetSocketAddress("127.0.0.1", 8500),
                ServiceScope.ALL,
                known,
                codec,
                exchange,
                log,
                Runnable::run,
                waits,
                NO_END);
    }

    private List<Long> versions() {
        RecordingEventHandler taker = new RecordingEventHandler();
        exchange.drainTo(taker);
        return taker.versions();
    }

    @Test
    void aWatchAsksFromItsVersionAndTakesLinesHoweverTheyAreCut() {
        Agent agent = new Agent(watch(41), "/catalog/members?watch=1&from=41", false);
        assertTrue(agent.takeOutputString()
                .startsWith("GET /catalog/members?watch=1&from=41 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n"));
        String two = list(42, false, "Ready") + "\n" + list(43, false, "Terminating");
        String answer = OK + chunk("\n") + chunk(two.substring(0, 30)) + chunk(two.substring(30)) + chunk("\r\n");
        for (char c : answer.toCharArray()) {
            agent.addInput("" + c);
        }
        assertEquals(List.of(42L, 43L), versions());
        assertTrue(agent.isOpen() && waits.ms.isEmpty());
    }

    @Test
    void aWholeListWhereChangesWereDueIsTakenAndAnOldChangeIsNot() {
        HostWatch watch = watch(41);
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK
                + chunk(list(44, true, "Ready"))
                + chunk(list(44, false, "Gone"))
                + chunk(list(45, false, "Gone"))
                + chunk(list(43, true, "Gone")));
        assertEquals(List.of(44L, 45L), versions());
        assertTrue(logged.toString().contains("version 43, which is older than 45 and changes nothing"));
    }

    @Test
    void silencePastABlankLineEndsTheAttemptAndItIsDialledAgain() {
        Agent agent = new Agent(watch(41), "/", false);
        agent.addInput(OK + chunk(list(42, false, "Ready")));
        assertFalse(agent.connection.onIdleExpired(new TimeoutException()));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), waits.ms);
        assertTrue(logged.toString().contains("had told and ended: nothing came for")
                && logged.toString().contains("from version 42"));
    }

    @Test
    void whateverEndsAnAttemptSaysHowFarItHadComeAndTheWaitGrowsToItsCap() {
        HostWatch watch = watch(41);
        for (String answer : List.of(
                "",
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "SSH-2.0-x\r\n\r\n",
                OK + chunk("{\"version\":\n"),
                OK + chunk("{\"version\":42,\"full\":false}\n"),
                OK + "0\r\n\r\n",
                OK + "zz\r\n")) {
            Agent agent = new Agent(watch, "/", false);
            agent.addInput(answer);
            agent.addInputEOF();
            assertFalse(agent.isOpen(), answer);
        }
        assertEquals(List.of(20L, 40L, 80L, 160L, 320L, 500L, 500L), waits.ms);
        assertEquals(List.of(), versions()); // the list stands
        List<String> lines = logged.toString().lines().toList();
        assertTrue(lines.get(0).contains("had asked and ended: ended by its peer"), lines.get(0));
        assertTrue(lines.get(1).contains("had answered and ended: status 503"), lines.get(1));
        assertTrue(lines.get(2).contains("had asked and ended: no HTTP answer"), lines.get(2));
        assertTrue(lines.get(3).contains("can't be read, text: not JSON"), lines.get(3));
        assertTrue(lines.get(4).contains("can't be read, fields: field servers is missing"), lines.get(4));
    }

    /** Moves there and back at once, then to an address where nobody answers, then to one that tells something. */
    @Test
    void whereDiscoveryMovesTheOldAddressServesUntilTheNewOneHasTold() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        threads.start();
        scheduler.start();
        try (ServerSocket old = agent();
                ServerSocket mute = agent();
                ServerSocket now = agent()) {
            HostWatch watch = new HostWatch(
                    at(old),
                    ServiceScope.ALL,
                    new HostList(41, true, List.of()),
                    codec,
                    exchange,
                    log,
                    threads,
                    scheduler,
                    NO_END);
            watch.open();
            try (Socket served = asked(old, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                say(served, OK + chunk(list(42, false, "Ready")));
                until(42);
                watch.moveTo(at(mute), ServiceScope.ALL);
                watch.moveTo(at(old), ServiceScope.ALL); // given up at once
                watch.moveTo(at(mute), ServiceScope.ALL);
                say(served, chunk(list(43, false, "Ready"))); // not a word from there: the old one serves
                until(43);
                watch.moveTo(at(now), ServiceScope.ALL);
                watch.moveTo(at(now), ServiceScope.ALL); // once more changes nothing
                try (Socket moved = asked(now, "GET /catalog/members?watch=1&from=43 HTTP/1.1")) {
                    say(moved, OK + chunk("\n"));
                    assertEquals(-1, served.getInputStream().read()); // now it is let go
                    say(
                            moved,
                            chunk(list(40, true, "Gone"))
                                    + chunk(list(43, false, "Gone"))
                                    + chunk(list(44, false, "Gone")));
                    until(44); // what is stale was passed over, and the version went along
                }
                try (Socket again = asked(now, "GET /catalog/members?watch=1&from=44 HTTP/1.1")) {
                    assertTrue(again.isConnected());
                }
            }
            old.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, old::accept); // nobody dials there any more
            watch.stop();
        } finally {
            threads.stop();
            scheduler.stop();
        }
    }

    private void until(long version) throws Exception {
        assertTrue(exchange.await(TimeUnit.SECONDS.toNanos(20)));
        assertEquals(List.of(version), versions());
    }

    @Test
    void withNoListItAsksForTheWholeThenWatchesAndAfterABreakGoesOnFromThere() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        threads.start();
        scheduler.start();
        try (ServerSocket agent = agent()) {
            HostWatch watch =
                    new HostWatch(at(agent), ServiceScope.ALL, null, codec, exchange, log, threads, scheduler, NO_END);
            watch.open();
            String body = list(7, true, "Ready");
            answer(
                    agent,
                    "GET /catalog/members HTTP/1.1",
                    "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            answer(agent, "GET /catalog/members?watch=1&from=7 HTTP/1.1", OK + chunk(list(9, false, "Gone")));
            answer(agent, "GET /catalog/members?watch=1&from=9 HTTP/1.1", OK);
            assertEquals(List.of(7L, 9L), versions());
            watch.stop();
        } finally {
            threads.stop();
            scheduler.stop();
        }
    }

    /** Whom the settings name may count from one again: what was done there under lower numbers must not be missed for ever. */
    @Test
    void aSourceThatCountsAnewIsPassedOverWhileItMayBeLateAndThenItsWholeListIsTaken() throws Exception {
        AtomicLong nanos = new AtomicLong();
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        threads.start();
        scheduler.start();
        try (ServerSocket old = agent();
                ServerSocket now = agent()) {
            HostWatch watch = new HostWatch(
                    at(old),
                    ServiceScope.ALL,
                    new HostList(41, true, List.of()),
                    codec,
                    exchange,
                    log,
                    threads,
                    scheduler,
                    NO_END,
                    Integer.MAX_VALUE,
                    nanos::get);
            watch.open();
            try (Socket served = asked(old, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                say(served, OK + chunk(list(42, false, "Ready")));
                until(42);
                watch.moveTo(at(now), ServiceScope.ALL);
                try (Socket moved = asked(now, "GET /catalog/members?watch=1&from=42 HTTP/1.1")) {
                    say(moved, OK + chunk(list(3, true, "Gone")) + chunk(list(4, false, "Ready")) + chunk("\n"));
                    assertEquals(-1, served.getInputStream().read()); // all of that is read
                    awaitLog("tells version 4, which is older than 42", 1);
                    assertEquals(List.of(), versions());
                    nanos.set(3_000_000_000L);
                    say(moved, chunk(list(4, false, "Ready"))); // it goes on to speak
                    awaitLog("tells version 4, which is older than 42", 2);
                    nanos.set(6_000_000_001L);
                    say(moved, chunk("\n"));
                    assertEquals(-1, moved.getInputStream().read());
                }
                String body = list(5, true, "Ready");
                answer(
                        now,
                        "GET /catalog/members HTTP/1.1",
                        "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                until(5);
                answer(now, "GET /catalog/members?watch=1&from=5 HTTP/1.1", OK + chunk(list(6, false, "Gone")));
                until(6);
            }
            watch.stop();
        } finally {
            threads.stop();
            scheduler.stop();
        }
    }

    @Test
    void anOldSourceThatFallsBackIsNeverTakenForAnother() {
        Versions versions = new Versions(new HostList(41, true, List.of()));
        Versions.Told source = new Versions.Told(false), late = new Versions.Told(true);
        assertEquals(Versions.Verdict.PASSED_OVER, versions.judge(new HostList(7, true, List.of()), source, 0));
        assertFalse(versions.countsAnew(source, Long.MAX_VALUE / 2));
        assertEquals(Versions.Verdict.PASSED_OVER, versions.judge(new HostList(40, true, List.of()), late, 0));
        assertEquals(Versions.Verdict.TAKEN, versions.judge(new HostList(42, false, List.of()), late, 1)); // only late
        assertFalse(versions.countsAnew(late, Long.MAX_VALUE / 2));
        assertEquals(42, versions.version());
    }

    /** The last one may have had entries that could not be read, and the version alone does not tell. */
    @Test
    void aWholeListOfTheVersionThatIsHeldIsTaken() {
        HostWatch watch = watch(41);
        new Agent(watch, "/", false).addInput(OK + chunk(list(41, true, "Ready")) + chunk(list(41, false, "Gone")));
        assertEquals(List.of(41L), versions());
    }

    @Test
    void wordsThatCannotBeReadAreNoReasonToLeaveTheAddressThatServes() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(8, 2);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        threads.start();
        scheduler.start();
        try (ServerSocket old = agent();
                ServerSocket wrong = agent()) {
            HostWatch watch = new HostWatch(
                    at(old),
                    ServiceScope.ALL,
                    new HostList(41, true, List.of()),
                    codec,
                    exchange,
                    log,
                    threads,
                    scheduler,
                    NO_END);
            watch.open();
            try (Socket served = asked(old, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                say(served, OK + chunk("\n"));
                watch.moveTo(at(wrong), ServiceScope.ALL);
                try (Socket moved = asked(wrong, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                    say(moved, OK + chunk("a page of another service\n"));
                    assertEquals(-1, moved.getInputStream().read());
                }
                say(served, chunk(list(42, false, "Ready")));
                until(42);
            }
            watch.stop();
        } finally {
            threads.stop();
            scheduler.stop();
        }
    }

    @Test
    void aLineThatDripsAndNeverEndsIsGivenUp() {
        AtomicLong nanos = new AtomicLong();
        HostWatch watch = new HostWatch(
                new InetSocketAddress("127.0.0.1", 8500),
                ServiceScope.ALL,
                new HostList(41, true, List.of()),
                codec,
                exchange,
                log,
                Runnable::run,
                waits,
                NO_END,
                Integer.MAX_VALUE,
                nanos::get);
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK + chunk("\n") + chunk("{\"vers"));
        nanos.addAndGet(4_000_000_000L);
        agent.addInput(chunk("i"));
        assertTrue(agent.isOpen());
        nanos.addAndGet(2_000_000_001L);
        agent.addInput(chunk("o"));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), waits.ms);
    }

    /** A dial on one machine may be through at once; then Jetty tells its failure elsewhere. */
    @Test
    void aDialThatIsThroughAndCannotBeTakenInIsMadeAgainAndOneThatWasLeftIsNot() throws Exception {
        HostWatch watch = watch(41);
        try (ServerSocket agent = agent();
                java.nio.channels.SocketChannel other = java.nio.channels.SocketChannel.open(at(agent))) {
            watch.onAcceptFailed(other, new java.io.IOException("too many open files"));
            assertEquals(List.of(), waits.ms); // none of its own
            watch.serving().dialled = other;
            watch.onAcceptFailed(other, new java.io.IOException("too many open files"));
            assertEquals(List.of(20L), waits.ms);
            assertFalse(other.isOpen());
        }
    }

    private void awaitLog(String words, int times) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (logged.toString().split(words, -1).length <= times) {
            assertTrue(System.nanoTime() < end, words);
            Thread.onSpinWait();
        }
    }
}
