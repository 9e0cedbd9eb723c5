package linenring.discovery;

import static linenring.discovery.AgentMessages.RESPONSE_HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.hostInState;
import static linenring.discovery.AgentMessages.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Discovery falls silent after hours of service. The watch has to notice and reconnect, or it would keep an outdated host list
 * forever. Also tests responses that are split at any byte. Runs in memory, on a simulated clock.
 */
class DiscoverySilenceTest extends WatchFixture {
    private static final long BLANK_LINE_NS = TimeUnit.SECONDS.toNanos(2);
    private static final int HOURS = 3;

    private final HostWatch watch = createWatch(1);

    private static String delta(long version) {
        return list(version, false, hostInState("Ready"));
    }

    /** Opens a connection that sends a blank line every 2 s and a delta each minute for several hours. */
    private InMemoryAgent serveForHours() {
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD);
        long version = 1;
        for (int line = 0; line < HOURS * 1800; line++) {
            advanceNanos(BLANK_LINE_NS);
            boolean hasChange = line % 30 == 29;
            if (hasChange) {
                version++;
            }
            agent.addInput(chunk(hasChange ? delta(version) : "\n"));
            assertTrue(agent.isOpen(), "open after " + line + " lines");
        }
        List<Long> versions = takeAppliedVersions();
        assertEquals(HOURS * 60, versions.size());
        assertEquals(1L + HOURS * 60, versions.get(versions.size() - 1));
        assertEquals(List.of(), backoffDelaysMs());
        return agent;
    }

    @Test
    void redialsAfterTheShortestDelayWhereAnAgentFallsSilentBetweenLines() {
        InMemoryAgent agent = serveForHours();
        assertFalse(agent.expireIdle());
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), backoffDelaysMs());
        assertEquals(1L + HOURS * 60, currentVersion());
    }

    @Test
    void redialsAndDiscardsThePartialLineWhereAnAgentFallsSilentWithinALine() {
        InMemoryAgent agent = serveForHours();
        String line = delta(500);
        agent.addInput(chunk(line.substring(0, line.length() / 2)));
        assertFalse(agent.expireIdle());
        agent.addInput(chunk(line.substring(line.length() / 2)));
        assertEquals(List.of(20L), backoffDelaysMs());
        assertEquals(List.of(), takeAppliedVersions());
        assertEquals(1L + HOURS * 60, currentVersion());
    }

    /** Bytes that complete no line count as silence, with the limit measured from the last complete line. */
    @Test
    void redialsWhereAnAgentSendsBytesButCompletesNoLine() {
        InMemoryAgent agent = serveForHours();
        for (int second = 0; second < 6; second++) {
            agent.addInput(chunk(" "));
            assertTrue(agent.isOpen(), "open after " + second + " s");
            advanceNanos(TimeUnit.SECONDS.toNanos(1));
        }
        advanceNanos(1);
        agent.addInput(chunk(" "));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), backoffDelaysMs());
    }

    /** The agent accepts each connection and sends nothing: attempts continue every 0.5 s, and a delta resets the backoff. */
    @Test
    void keepsRedialingWhereEachAttemptFallsSilent() {
        serveForHours().expireIdle();
        for (int attempt = 0; attempt < 10; attempt++) {
            InMemoryAgent.connectForWatch(watch).expireIdle();
        }
        assertEquals(List.of(20L, 40L, 80L, 160L, 320L, 500L, 500L, 500L, 500L, 500L, 500L), backoffDelaysMs());
        InMemoryAgent deliveringAgent = InMemoryAgent.connectForWatch(watch);
        deliveringAgent.addInput(RESPONSE_HEAD + chunk(delta(900)));
        assertEquals(List.of(900L), takeAppliedVersions());
        deliveringAgent.expireIdle();
        assertEquals(20L, backoffDelaysMs().get(backoffDelaysMs().size() - 1));
    }

    /** Finds the current version: the highest version whose delta is ignored. */
    private long currentVersion() {
        long currentVersion = 0;
        for (long version = HOURS * 60 - 2; version < HOURS * 60 + 4; version++) {
            InMemoryAgent.connectForWatch(watch).addInput(RESPONSE_HEAD + chunk(delta(version)));
            List<Long> appliedVersions = takeAppliedVersions();
            if (!appliedVersions.isEmpty()) {
                currentVersion = appliedVersions.get(0) - 1;
                break;
            }
        }
        return currentVersion;
    }

    @Test
    void readsAResponseSplitAnywhere() {
        String response = RESPONSE_HEAD + chunk("\n") + chunk(delta(42) + delta(43)) + chunk("\r\n");
        for (int splitAt = 1; splitAt < response.length(); splitAt++) {
            InMemoryAgent agent = InMemoryAgent.connectForWatch(createWatch(41));
            agent.addInput(response.substring(0, splitAt));
            agent.addInput(response.substring(splitAt));
            assertEquals(List.of(42L, 43L), takeAppliedVersions(), "split at " + splitAt);
            assertTrue(agent.isOpen(), "split at " + splitAt);
        }
        assertEquals(List.of(), backoffDelaysMs());
    }
}
