package linenring.controller;

import static linenring.controller.ControlLoopFixture.LONG_AGO;
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
 * Hosts are replaced all day, each under a name that was never seen before. State that is kept for each of them would fill the heap in
 * some weeks; it must be bounded by the hosts that are alive, with the ids of removed hosts used again.
 */
class ReplacedHostsTest {
    private static final int ALIVE = 100;
    private static final int TURNS = 1000;
    private static final int REPLACEMENTS = ALIVE * TURNS;
    private static final int RETAINED = 1024;
    private static final int PROXIES = 2;
    private static final double TURN_MS = 1200;
    /** The number of turns after which a host's id belongs to another. */
    private static final int FORGOTTEN_AFTER = 2 * RETAINED / ALIVE;

    private long version = 1;

    @Test
    void keepsBoundedStateThroughAHundredThousandReplacements() {
        ControlLoopFixture fixture = started();
        RecordingProxy late = fixture.proxies().get(1);
        for (int turn = 1; turn <= TURNS; turn++) {
            late.setSilent(turn % 100 < 30); // its acknowledgements come when the hosts of these updates are forgotten
            replaceAll(fixture, turn);
            if (turn > FORGOTTEN_AFTER) {
                reportFailures(fixture, turn - FORGOTTEN_AFTER);
            }
            fixture.pass(TURN_MS);
        }
        late.setSilent(false);
        fixture.pass(10_000);
        assertTrue(fixture.hostIdCount() <= 3 * ALIVE + RETAINED, fixture.hostIdCount() + " ids after " + REPLACEMENTS);
        Set<String> alive = names(TURNS);
        for (RecordingProxy proxy : fixture.proxies()) {
            assertEquals(alive, proxy.pickable().keySet());
            assertTrue(
                    Collections.disjoint(proxy.ejectedAt().keySet(), alive),
                    "reports on former hosts count for nobody");
        }
    }

    @Test
    void restoresAForgottenHostThatReturns() {
        ControlLoopFixture fixture = started();
        int turns = FORGOTTEN_AFTER + 1;
        for (int turn = 1; turn <= turns; turn++) {
            replaceAll(fixture, turn);
            fixture.pass(TURN_MS);
        }
        RecordingProxy proxy = fixture.proxies().get(0);
        assertTrue(proxy.ejected().contains("s-0"), "the proxy keeps the ejection");
        List<HostList.Entry> entries = new ArrayList<>(entries(turns));
        entries.add(host(0, State.READY, LONG_AGO));
        fixture.eventQueue().enqueueHostList(new HostList(++version, true, entries));
        fixture.pass(TURN_MS);
        assertTrue(proxy.pickable().containsKey("s-0"));
        assertFalse(proxy.ejected().contains("s-0"));
    }

    @Test
    void keepsTheIdOfAHostThatReturnsSoon() {
        ControlLoopFixture fixture = started();
        int before = fixture.hostIdCount();
        for (int turn = 0; turn < 50; turn++) {
            State state = turn % 2 == 0 ? State.GONE : State.READY;
            fixture.eventQueue().enqueueHostList(new HostList(++version, false, List.of(host(7, state, LONG_AGO))));
            fixture.pass(TURN_MS);
        }
        assertEquals(before, fixture.hostIdCount());
        assertTrue(fixture.proxies().get(0).pickable().containsKey("s-7"));
    }

    private static ControlLoopFixture started() {
        ControlLoopFixture fixture = new ControlLoopFixture(warmHosts(1, ALIVE), PROXIES, 4000).joinAll(PROXIES, true);
        fixture.pass(2000);
        return fixture;
    }

    /** All hosts of the turn before are gone and others have come, in one list. */
    private void replaceAll(ControlLoopFixture fixture, int turn) {
        fixture.eventQueue().enqueueHostList(new HostList(++version, true, entries(turn)));
    }

    private static List<HostList.Entry> entries(int turn) {
        return IntStream.range(turn * ALIVE, (turn + 1) * ALIVE)
                .mapToObj(number -> host(number, State.READY, LONG_AGO))
                .toList();
    }

    private static Set<String> names(int turn) {
        return entries(turn).stream().map(HostList.Entry::host).collect(Collectors.toSet());
    }

    private static void reportFailures(ControlLoopFixture fixture, int turn) {
        for (HostList.Entry entry : entries(turn)) {
            fixture.report(entry.zone(), entry.host(), 50, 50, 0);
        }
    }
}
