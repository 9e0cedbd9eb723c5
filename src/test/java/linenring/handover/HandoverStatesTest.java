package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Both sides of a handover and all that can happen between them: messages in their order, a side killed at any step, a timeout
 * at any step, a fault in preparing. Were the port accepted at by two processes, or by none, requests would be lost or run
 * twice.
 */
class HandoverStatesTest {
    private static final HandoverSender.Timeouts TIMEOUTS = new HandoverSender.Timeouts(1, 1, 1, 1);

    @Test
    void leavesOneProcessAcceptingInEveryOrderOfMessagesDeathsAndTimeouts() {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<HandoverWorld.Event>> open = new ArrayDeque<>(List.of(List.of()));
        while (!open.isEmpty()) {
            List<HandoverWorld.Event> events = open.remove();
            HandoverWorld world = new HandoverWorld(events);
            if (!seen.add(world.key())) {
                continue;
            }
            assertTrue(new HandoverWorld(events).settlesWithOneOwner(), () -> "nobody accepts after " + events);
            for (HandoverWorld.Event next : world.choices()) {
                List<HandoverWorld.Event> longer = new ArrayList<>(events);
                longer.add(next);
                open.add(longer);
            }
        }
        assertTrue(seen.size() > 100, "states: " + seen.size());
    }

    @Test
    void handsOverStepByStep() {
        HandoverSender old = new HandoverSender(new HandoverSender.Timeouts(20_000, 30_000, 5000, 10_000));
        assertEquals(List.of(HandoverSender.Effect.SPAWN), old.upgradeRequested(0));
        assertEquals(List.of(), old.upgradeRequested(1)); // one at a time
        assertEquals(List.of(HandoverSender.Effect.SEND_OFFER), old.greeted(1, 500));
        assertEquals(List.of(HandoverSender.Effect.STOP_ACCEPTING, HandoverSender.Effect.SEND_COMMIT), old.ready(900));
        assertEquals(List.of(HandoverSender.Effect.DRAIN), old.owned(910));
        assertEquals(List.of(), old.tick(10_909));
        assertEquals(
                List.of(
                        HandoverSender.Effect.SEND_RETIRE,
                        HandoverSender.Effect.REPORT_SUCCESS,
                        HandoverSender.Effect.END_WHEN_DRAINED),
                old.tick(10_910));
        assertEquals(List.of(), old.newProcessDied("later", 11_000));
    }

    @Test
    void neverCommitsAPortThatCannotBeGivenUpAndReclaimsItAfterTheNewProcessDied() {
        HandoverSender old = new HandoverSender(TIMEOUTS);
        old.upgradeRequested(0);
        old.greeted(1, 0);
        old.ready(0); // stop accepting, then send the commit
        assertEquals(
                List.of(HandoverSender.Effect.KILL),
                old.effectFailed(HandoverSender.Effect.STOP_ACCEPTING, "a fault", 0));
        assertEquals(
                List.of(HandoverSender.Effect.ACCEPT, HandoverSender.Effect.REPORT_FAILURE),
                old.newProcessDied("killed", 0));
        assertEquals("this process could not stop accepting: a fault", old.failure());
        old.upgradeRequested(0);
        assertEquals(
                List.of(HandoverSender.Effect.REPORT_FAILURE),
                old.effectFailed(HandoverSender.Effect.SPAWN, "no such file", 0));
        assertEquals(
                List.of(),
                old.effectFailed(HandoverSender.Effect.SEND_RETIRE, "gone", 0)); // the effects after it go on
    }

    @Test
    void killsWhatTakesTooLongAndReclaimsThePortOnlyOnceItIsDead() {
        HandoverSender old = new HandoverSender(new HandoverSender.Timeouts(20_000, 30_000, 5000, 10_000));
        old.upgradeRequested(0);
        old.greeted(1, 1);
        old.ready(2);
        assertEquals(List.of(HandoverSender.Effect.KILL), old.tick(5002));
        assertEquals(List.of(), old.owned(5003)); // too late: it is being killed
        assertEquals(
                List.of(HandoverSender.Effect.ACCEPT, HandoverSender.Effect.REPORT_FAILURE),
                old.newProcessDied("killed", 5004));
        assertEquals("the new process did not take the port in time", old.failure());
        assertEquals(List.of(HandoverSender.Effect.SPAWN), old.upgradeRequested(6000)); // and may be requested again
    }

    @Test
    void refusesAnotherProtocolBeforeAnythingIsGivenUp() {
        HandoverSender old = new HandoverSender(TIMEOUTS);
        old.upgradeRequested(0);
        assertEquals(List.of(HandoverSender.Effect.KILL), old.greeted(2, 0.5));
        assertTrue(old.isAccepting());
        assertEquals(List.of(HandoverSender.Effect.REPORT_FAILURE), old.newProcessDied("killed", 0.6));
        assertEquals("the new release speaks protocol 2, this one 1", old.failure());
    }

    @Test
    void abortsAnUpgradeAtShutdownUnlessThePortHasChangedHands() {
        HandoverSender old = new HandoverSender(TIMEOUTS);
        old.upgradeRequested(0);
        assertEquals(List.of(HandoverSender.Effect.KILL), old.shutdownRequested(0.1));
        old.newProcessDied("killed", 0.2);
        assertEquals(List.of(), old.upgradeRequested(0.3)); // none begins any more
        HandoverSender late = new HandoverSender(TIMEOUTS);
        late.upgradeRequested(0);
        late.greeted(HandoverSender.PROTOCOL, 0);
        late.ready(0);
        late.owned(0);
        assertEquals(List.of(), late.shutdownRequested(0.1)); // the new one has the port, and this one drains already
        assertEquals(HandoverSender.State.PROBATION, late.state());
    }
}
