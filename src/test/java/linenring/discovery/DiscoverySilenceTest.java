package linenring.discovery;

import static linenring.discovery.AgentMessages.HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.host;
import static linenring.discovery.AgentMessages.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Discovery falls silent after hours of service: the watch must notice and dial again, or the hosts stay as they were for
 * ever. And its answers come cut anywhere. In memory, on the test's clock.
 */
class DiscoverySilenceTest extends WatchFixture {
    private static final long BLANK_LINE_NS = TimeUnit.SECONDS.toNanos(2);
    private static final int HOURS = 3;

    private final HostWatch watch = watch(1);

    private static String change(long version) {
        return list(version, false, host("Ready"));
    }

    /** Serves for hours: a blank line every two seconds, a change each minute. */
    private InMemoryAgent serveForHours() {
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD);
        long version = 1;
        for (int line = 0; line < HOURS * 1800; line++) {
            advanceNanos(BLANK_LINE_NS);
            boolean hasChange = line % 30 == 29;
            if (hasChange) {
                version++;
            }
            agent.addInput(chunk(hasChange ? change(version) : "\n"));
            assertTrue(agent.isOpen(), "open after " + line + " lines");
        }
        List<Long> versions = versions();
        assertEquals(HOURS * 60, versions.size());
        assertEquals(1L + HOURS * 60, versions.get(versions.size() - 1));
        assertEquals(List.of(), delaysMs());
        return agent;
    }

    @Test
    void redialsAtOnceWhereAnAgentFallsSilentBetweenLines() {
        InMemoryAgent agent = serveForHours();
        assertFalse(agent.expireIdle());
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), delaysMs());
        assertEquals(1L + HOURS * 60, heldVersion());
    }

    @Test
    void redialsAtOnceAndForgetsTheHalfLineWhereAnAgentFallsSilentWithinALine() {
        InMemoryAgent agent = serveForHours();
        String half = change(500);
        agent.addInput(chunk(half.substring(0, half.length() / 2)));
        assertFalse(agent.expireIdle());
        agent.addInput(chunk(half.substring(half.length() / 2)));
        assertEquals(List.of(20L), delaysMs());
        assertEquals(List.of(), versions());
        assertEquals(1L + HOURS * 60, heldVersion());
    }

    /** Bytes without the end of a line are silence too: the limit counts from the last whole line, not from the beginning. */
    @Test
    void redialsWhereAnAgentOnlyDripsBytesAfterHours() {
        InMemoryAgent agent = serveForHours();
        for (int second = 0; second < 6; second++) {
            agent.addInput(chunk(" "));
            assertTrue(agent.isOpen(), "open after " + second + " s");
            advanceNanos(TimeUnit.SECONDS.toNanos(1));
        }
        advanceNanos(1);
        agent.addInput(chunk(" "));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), delaysMs());
    }

    /** It accepts and sends nothing, again and again: dialled for ever, every half a second in the end; a list resets the backoff. */
    @Test
    void keepsRedialingWhereEachAttemptFallsSilent() {
        serveForHours().expireIdle();
        for (int attempt = 0; attempt < 10; attempt++) {
            InMemoryAgent.watched(watch).expireIdle();
        }
        assertEquals(List.of(20L, 40L, 80L, 160L, 320L, 500L, 500L, 500L, 500L, 500L, 500L), delaysMs());
        InMemoryAgent delivering = InMemoryAgent.watched(watch);
        delivering.addInput(HEAD + chunk(change(900)));
        assertEquals(List.of(900L), versions());
        delivering.expireIdle();
        assertEquals(20L, delaysMs().get(delaysMs().size() - 1));
    }

    /** As the next attempt would request it; a change of an older version is ignored. */
    private long heldVersion() {
        long held = 0;
        for (long version = HOURS * 60 - 2; version < HOURS * 60 + 4; version++) {
            InMemoryAgent.watched(watch).addInput(HEAD + chunk(change(version)));
            List<Long> taken = versions();
            if (!taken.isEmpty()) {
                held = taken.get(0) - 1;
                break;
            }
        }
        return held;
    }

    @Test
    void readsAnAnswerCutInTwoAnywhere() {
        String answer = HEAD + chunk("\n") + chunk(change(42) + change(43)) + chunk("\r\n");
        for (int cut = 1; cut < answer.length(); cut++) {
            InMemoryAgent agent = InMemoryAgent.watched(watch(41));
            agent.addInput(answer.substring(0, cut));
            agent.addInput(answer.substring(cut));
            assertEquals(List.of(42L, 43L), versions(), "cut at " + cut);
            assertTrue(agent.isOpen(), "cut at " + cut);
        }
        assertEquals(List.of(), delaysMs());
    }
}
