package linenring.discovery;

import static linenring.discovery.AgentFixture.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import linenring.event.EventQueue;
import linenring.event.RecordingEventHandler;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import linenring.settings.Names;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;

/** Discovery falls silent after hours of service, and its answers come cut anywhere; in memory, the clock is the test's. */
class DiscoverySilenceTest {
    private static final String ANSWER_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final long BLANK_LINE_NS = TimeUnit.SECONDS.toNanos(2);
    private static final int HOURS = 3;

    /** Records delays and runs nothing. */
    private static final class RecordingScheduler extends AbstractLifeCycle implements Scheduler {
        final List<Long> delaysMs = new ArrayList<>();

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            delaysMs.add(unit.toMillis(delay));
            return () -> true;
        }
    }

    /** The agent's side of a connection in memory. */
    private static final class Agent extends ByteArrayEndPoint {
        final AgentConnection connection;

        Agent(HostWatch watch, String target) {
            super(new RecordingScheduler(), 0);
            setGrowOutput(true);
            connection = new AgentConnection(this, Runnable::run, watch, watch.serving(), target, false);
            setConnection(connection);
            connection.onOpen();
        }

        @Override
        protected void execute(Runnable task) {
            task.run();
        }
    }

    private final EventQueue exchange = new EventQueue();
    private final RecordingScheduler scheduler = new RecordingScheduler();
    private final AtomicLong nanos = new AtomicLong(Long.MAX_VALUE - TimeUnit.HOURS.toNanos(1)); // it wraps meanwhile
    private final HostWatch watch = watch(1);

    private HostWatch watch(long version) {
        return new HostWatch(
                new InetSocketAddress("127.0.0.1", 8500),
                ServiceScope.ALL,
                new HostList(version, true, List.of()),
                new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4)),
                exchange,
                new Log(new PrintStream(OutputStream.nullOutputStream())),
                Runnable::run,
                scheduler,
                why -> {
                    throw new AssertionError(why);
                },
                Integer.MAX_VALUE,
                nanos::get);
    }

    private static String change(long version) {
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[{\"id\":\"s-1\",\"zone\":\"a\","
                + "\"kind\":\"m1\",\"state\":\"Ready\"}]}\n";
    }

    private List<Long> versions() {
        RecordingEventHandler taker = new RecordingEventHandler();
        exchange.drainTo(taker);
        return taker.versions();
    }

    /** Serves for hours: a blank line every two seconds, a change each minute. */
    private Agent serveForHours() {
        Agent agent = new Agent(watch, "/catalog/members?watch=1&from=1");
        agent.addInput(ANSWER_HEAD);
        long version = 1;
        for (int line = 0; line < HOURS * 1800; line++) {
            nanos.addAndGet(BLANK_LINE_NS);
            agent.addInput(chunk(line % 30 == 29 ? change(++version) : "\n"));
            assertTrue(agent.isOpen(), "open after " + line + " lines");
        }
        List<Long> versions = versions();
        assertEquals(HOURS * 60, versions.size());
        assertEquals(1L + HOURS * 60, versions.get(versions.size() - 1));
        assertEquals(List.of(), scheduler.delaysMs);
        return agent;
    }

    @Test
    void isDialledAgainAtOnceWhereItFallsSilentBetweenLines() {
        Agent agent = serveForHours();
        assertFalse(agent.connection.onIdleExpired(new TimeoutException("the end point saw no byte")));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), scheduler.delaysMs);
        assertEquals(1L + HOURS * 60, heldVersion());
    }

    @Test
    void isDialledAgainAtOnceWhereItFallsSilentInsideALineAndTheHalfLineIsForgotten() {
        Agent agent = serveForHours();
        String half = change(500);
        agent.addInput(chunk(half.substring(0, half.length() / 2)));
        assertFalse(agent.connection.onIdleExpired(new TimeoutException("the end point saw no byte")));
        agent.addInput(chunk(half.substring(half.length() / 2)));
        assertEquals(List.of(20L), scheduler.delaysMs);
        assertEquals(List.of(), versions());
        assertEquals(1L + HOURS * 60, heldVersion());
    }

    /** Bytes without the end of a line are silence too: the limit counts from the last whole line, not from the beginning. */
    @Test
    void isDialledAgainWhereItOnlyDripsAfterHours() {
        Agent agent = serveForHours();
        for (int second = 0; second < 6; second++) {
            agent.addInput(chunk(" "));
            assertTrue(agent.isOpen(), "open after " + second + " s");
            nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        }
        nanos.addAndGet(1);
        agent.addInput(chunk(" "));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), scheduler.delaysMs);
    }

    /** It accepts and says nothing, again and again: dialled for good, at most every half a second; a word resets the wait. */
    @Test
    void isDialledForGoodWhereEachNewAttemptFallsSilentToo() {
        serveForHours().connection.onIdleExpired(new TimeoutException("the end point saw no byte"));
        for (int attempt = 0; attempt < 10; attempt++) {
            new Agent(watch, "/").connection.onIdleExpired(new TimeoutException("the end point saw no byte"));
        }
        assertEquals(List.of(20L, 40L, 80L, 160L, 320L, 500L, 500L, 500L, 500L, 500L, 500L), scheduler.delaysMs);
        Agent speaks = new Agent(watch, "/");
        speaks.addInput(ANSWER_HEAD + chunk(change(900)));
        assertEquals(List.of(900L), versions());
        speaks.connection.onIdleExpired(new TimeoutException("the end point saw no byte"));
        assertEquals(20L, scheduler.delaysMs.get(scheduler.delaysMs.size() - 1));
    }

    /** As the next attempt would ask for it; a change of an older version is passed over. */
    private long heldVersion() {
        long held = 0;
        for (long version = HOURS * 60 - 2; version < HOURS * 60 + 4; version++) {
            new Agent(watch, "/").addInput(ANSWER_HEAD + chunk(change(version)));
            List<Long> taken = versions();
            if (!taken.isEmpty()) {
                held = taken.get(0) - 1;
                break;
            }
        }
        return held;
    }

    @Test
    void isReadTheSameWhereverItsAnswerIsCutInTwo() {
        String answer = ANSWER_HEAD + chunk("\n") + chunk(change(42) + change(43)) + chunk("\r\n");
        for (int cut = 1; cut < answer.length(); cut++) {
            HostWatch watch = watch(41);
            Agent agent = new Agent(watch, "/");
            agent.addInput(answer.substring(0, cut));
            agent.addInput(answer.substring(cut));
            assertEquals(List.of(42L, 43L), versions(), "cut at " + cut);
            assertTrue(agent.isOpen(), "cut at " + cut);
        }
        assertEquals(List.of(), scheduler.delaysMs);
    }
}
