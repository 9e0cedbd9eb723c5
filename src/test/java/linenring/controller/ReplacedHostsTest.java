package linenring.controller;

import static linenring.controller.ControlLoopFixture.STARTED_LONG_AGO;
import static linenring.controller.ControlLoopFixture.host;
import static linenring.controller.ControlLoopFixture.warmHosts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import org.junit.jupiter.api.Test;

/**
 * Hosts are replaced continuously, each by a host with a new name. State kept for each host ever listed would fill the heap within
 * weeks. The state must be bounded by the number of listed hosts, and the ids of removed hosts must be reused.
 */
class ReplacedHostsTest {
    private static final int LISTED_HOSTS = 100;
    private static final int ROUNDS = 1000;
    private static final int REPLACEMENTS = LISTED_HOSTS * ROUNDS;
    private static final int RETAINED_HOSTS = 1024;
    private static final int PROXIES = 2;
    private static final double ROUND_MS = 1200;
    /** Number of rounds after which a removed host's id is reused for another host. */
    private static final int ROUNDS_UNTIL_ID_REUSE = 2 * RETAINED_HOSTS / LISTED_HOSTS;

    private long version = 1;

    @Test
    void keepsBoundedStateThroughAHundredThousandReplacements() {
        ControlLoopFixture fixture = startFixture();
        RecordingProxy slowProxy = fixture.proxies().get(1);
        for (int round = 1; round <= ROUNDS; round++) {
            slowProxy.setSilent(round % 100 < 30); // late acknowledgements refer to hosts that are already forgotten
            replaceAll(fixture, round);
            if (round > ROUNDS_UNTIL_ID_REUSE) {
                reportFailures(fixture, round - ROUNDS_UNTIL_ID_REUSE);
            }
            fixture.advance(ROUND_MS);
        }
        slowProxy.setSilent(false);
        fixture.advance(10_000);
        assertTrue(
                fixture.hostIdCount() <= 3 * LISTED_HOSTS + RETAINED_HOSTS,
                fixture.hostIdCount() + " host ids, replaced hosts: " + REPLACEMENTS);
        Set<String> currentHosts = hostNames(ROUNDS);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(currentHosts, proxy.pickableWeights().keySet());
            assertTrue(
                    Collections.disjoint(proxy.ejectionTimesMs().keySet(), currentHosts),
                    "load reports on removed hosts must not eject current hosts");
        }
    }

    @Test
    void restoresAReleasedHostThatReturns() {
        ControlLoopFixture fixture = startFixture();
        int rounds = ROUNDS_UNTIL_ID_REUSE + 1;
        for (int round = 1; round <= rounds; round++) {
            replaceAll(fixture, round);
            fixture.advance(ROUND_MS);
        }
        RecordingProxy proxy = fixture.proxies().get(0);
        assertTrue(proxy.ejected().contains("s-0"), "the proxy must keep the ejection of a removed host");
        List<HostList.Entry> entries = new ArrayList<>(entries(rounds));
        entries.add(host(0, State.READY, STARTED_LONG_AGO));
        fixture.eventQueue().enqueueHostList(new HostList(++version, true, entries));
        fixture.advance(ROUND_MS);
        assertTrue(proxy.pickableWeights().containsKey("s-0"));
        assertFalse(proxy.ejected().contains("s-0"));
    }

    @Test
    void keepsTheIdOfAHostThatReturnsSoon() {
        ControlLoopFixture fixture = startFixture();
        int initialIdCount = fixture.hostIdCount();
        for (int round = 0; round < 50; round++) {
            State state = round % 2 == 0 ? State.GONE : State.READY;
            fixture.eventQueue()
                    .enqueueHostList(new HostList(++version, false, List.of(host(7, state, STARTED_LONG_AGO))));
            fixture.advance(ROUND_MS);
        }
        assertEquals(initialIdCount, fixture.hostIdCount());
        assertTrue(fixture.proxies().get(0).pickableWeights().containsKey("s-7"));
    }

    private static ControlLoopFixture startFixture() {
        ControlLoopFixture fixture =
                new ControlLoopFixture(warmHosts(1, LISTED_HOSTS), PROXIES, 4000).joinAll(PROXIES, true);
        fixture.advance(2000);
        return fixture;
    }

    /** Replaces all hosts of the previous round by new hosts, in one complete list. */
    private void replaceAll(ControlLoopFixture fixture, int round) {
        fixture.eventQueue().enqueueHostList(new HostList(++version, true, entries(round)));
    }

    private static List<HostList.Entry> entries(int round) {
        return IntStream.range(round * LISTED_HOSTS, (round + 1) * LISTED_HOSTS)
                .mapToObj(number -> host(number, State.READY, STARTED_LONG_AGO))
                .toList();
    }

    private static Set<String> hostNames(int round) {
        return entries(round).stream().map(HostList.Entry::host).collect(Collectors.toSet());
    }

    private static void reportFailures(ControlLoopFixture fixture, int round) {
        for (HostList.Entry entry : entries(round)) {
            fixture.reportLoad(entry.zone(), entry.host(), 50, 50, 0);
        }
    }
}
