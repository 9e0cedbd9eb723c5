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
 * Explores both state machines of a handover with every order of messages, deaths, timeouts and preparation failures. If both
 * processes accepted connections, requests could run twice; if neither did, requests would be lost.
 */
class HandoverStatesTest {
    private static final HandoverSender.Timeouts TIMEOUTS = new HandoverSender.Timeouts(1, 1, 1, 1);

    @Test
    void keepsOneProcessAcceptingInEveryOrderOfMessagesDeathsAndTimeouts() {
        Set<String> exploredStates = new HashSet<>();
        ArrayDeque<List<HandoverSimulation.Event>> unexploredHistories = new ArrayDeque<>(List.of(List.of()));
        while (!unexploredHistories.isEmpty()) {
            List<HandoverSimulation.Event> events = unexploredHistories.remove();
            HandoverSimulation world = new HandoverSimulation(events);
            if (!exploredStates.add(world.stateKey())) {
                continue;
            }
            assertTrue(
                    new HandoverSimulation(events).settlesWithOneAcceptingProcess(),
                    () -> "no process accepts after events " + events);
            for (HandoverSimulation.Event nextEvent : world.possibleEvents()) {
                List<HandoverSimulation.Event> extendedHistory = new ArrayList<>(events);
                extendedHistory.add(nextEvent);
                unexploredHistories.add(extendedHistory);
            }
        }
        assertTrue(exploredStates.size() > 100, "too few states explored: " + exploredStates.size());
    }

    @Test
    void handsOverStepByStep() {
        HandoverSender sender = new HandoverSender(new HandoverSender.Timeouts(20_000, 30_000, 5000, 10_000));
        assertEquals(List.of(HandoverSender.Effect.SPAWN), sender.upgradeRequested(0));
        assertEquals(List.of(), sender.upgradeRequested(1)); // a second request during an upgrade has no effect
        assertEquals(List.of(HandoverSender.Effect.SEND_OFFER), sender.greeted(1, 500));
        assertEquals(
                List.of(HandoverSender.Effect.STOP_ACCEPTING, HandoverSender.Effect.SEND_COMMIT), sender.ready(900));
        assertEquals(List.of(HandoverSender.Effect.DRAIN), sender.owned(910));
        assertEquals(List.of(), sender.tick(10_909));
        assertEquals(
                List.of(
                        HandoverSender.Effect.SEND_RETIRE,
                        HandoverSender.Effect.REPORT_SUCCESS,
                        HandoverSender.Effect.END_WHEN_DRAINED),
                sender.tick(10_910));
        assertEquals(List.of(), sender.newProcessDied("later", 11_000));
    }

    @Test
    void sendsNoCommitIfAcceptingCannotStopAndReclaimsThePortAfterTheNewProcessDied() {
        HandoverSender sender = new HandoverSender(TIMEOUTS);
        sender.upgradeRequested(0);
        sender.greeted(1, 0);
        sender.ready(0); // returns STOP_ACCEPTING and SEND_COMMIT
        assertEquals(
                List.of(HandoverSender.Effect.KILL),
                sender.effectFailed(HandoverSender.Effect.STOP_ACCEPTING, "a fault", 0));
        assertEquals(
                List.of(HandoverSender.Effect.ACCEPT, HandoverSender.Effect.REPORT_FAILURE),
                sender.newProcessDied("killed", 0));
        assertEquals("this process could not stop accepting connections: a fault", sender.failureReason());
        sender.upgradeRequested(0);
        assertEquals(
                List.of(HandoverSender.Effect.REPORT_FAILURE),
                sender.effectFailed(HandoverSender.Effect.SPAWN, "no such file", 0));
        assertEquals(
                List.of(),
                sender.effectFailed(
                        HandoverSender.Effect.SEND_RETIRE,
                        "gone",
                        0)); // the effects after a failed SEND_RETIRE are performed
    }

    @Test
    void killsASlowNewProcessAndReclaimsThePortOnlyAfterItsDeath() {
        HandoverSender sender = new HandoverSender(new HandoverSender.Timeouts(20_000, 30_000, 5000, 10_000));
        sender.upgradeRequested(0);
        sender.greeted(1, 1);
        sender.ready(2);
        assertEquals(List.of(HandoverSender.Effect.KILL), sender.tick(5002));
        assertEquals(List.of(), sender.owned(5003)); // too late, since the new process is being killed
        assertEquals(
                List.of(HandoverSender.Effect.ACCEPT, HandoverSender.Effect.REPORT_FAILURE),
                sender.newProcessDied("killed", 5004));
        assertEquals("the new process did not start to accept connections in time", sender.failureReason());
        assertEquals(
                List.of(HandoverSender.Effect.SPAWN), sender.upgradeRequested(6000)); // a further upgrade is possible
    }

    @Test
    void rejectsAnotherProtocolWhileStillAccepting() {
        HandoverSender sender = new HandoverSender(TIMEOUTS);
        sender.upgradeRequested(0);
        assertEquals(List.of(HandoverSender.Effect.KILL), sender.greeted(2, 0.5));
        assertTrue(sender.isAccepting());
        assertEquals(List.of(HandoverSender.Effect.REPORT_FAILURE), sender.newProcessDied("killed", 0.6));
        assertEquals("the new release uses handover protocol 2, this release uses 1", sender.failureReason());
    }

    @Test
    void abortsAnUpgradeAtShutdownUnlessThePortHasChangedHands() {
        HandoverSender sender = new HandoverSender(TIMEOUTS);
        sender.upgradeRequested(0);
        assertEquals(List.of(HandoverSender.Effect.KILL), sender.shutdownRequested(0.1));
        sender.newProcessDied("killed", 0.2);
        assertEquals(List.of(), sender.upgradeRequested(0.3)); // no upgrade starts during a shutdown
        HandoverSender senderInProbation = new HandoverSender(TIMEOUTS);
        senderInProbation.upgradeRequested(0);
        senderInProbation.greeted(HandoverSender.PROTOCOL, 0);
        senderInProbation.ready(0);
        senderInProbation.owned(0);
        assertEquals(
                List.of(),
                senderInProbation.shutdownRequested(0.1)); // the new process has the port, and the old one is draining
        assertEquals(HandoverSender.State.PROBATION, senderInProbation.state());
    }
}
