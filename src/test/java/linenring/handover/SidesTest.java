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
 * Both sides and all that can happen between them: messages in their order, a side killed at any step, a wait that runs
 * out at any step, a fault in preparing. Every order of these is walked.
 */
class SidesTest {
    private static final HandoverSender.Bounds BOUNDS = new HandoverSender.Bounds(1, 1, 1, 1);
    private static final double LATE = 1e9;

    /** What happened from the start on; the world is built from it anew, as the sides are no values. */
    private static final class World {
        final HandoverSender old = new HandoverSender(BOUNDS);
        final HandoverReceiver young = new HandoverReceiver(1);
        final ArrayDeque<String> toOld = new ArrayDeque<>(), toNew = new ArrayDeque<>();
        boolean spawned, oldDead, newDead, deathKnown, oldDeathKnown, preparing, killed;
        boolean oldAccepts = true, newAccepts, told, everOwned;
        double now;

        World(List<String> script) {
            script.forEach(this::step);
        }

        List<String> choices() {
            List<String> c = new ArrayList<>();
            boolean news = spawned && !newDead;
            if (!oldDead && old.state() == HandoverSender.State.SERVING && !spawned) {
                c.add("ask");
            }
            if (!oldDead && !toOld.isEmpty()) {
                c.add("old hears");
            }
            if (news && !toNew.isEmpty()) {
                c.add("new hears");
            }
            if (news && preparing) {
                c.add("prepared");
                c.add("can't");
            }
            if (news) {
                c.add("new dies");
            }
            if (!oldDead && spawned) {
                c.add("old dies");
                c.add("old waits");
            }
            if (news && young.state() != HandoverReceiver.State.ALONE) {
                c.add("new waits");
            }
            if (spawned && newDead && !deathKnown && !oldDead) {
                c.add("old learns");
            }
            if (oldDead && !oldDeathKnown && news && toNew.isEmpty()) { // what was sent is read first
                c.add("new learns");
            }
            return c;
        }

        void step(String what) {
            now++;
            switch (what) {
                case "ask" -> does(old.ask(now));
                case "old hears" -> {
                    String m = toOld.poll();
                    does(
                            m.equals("hello")
                                    ? old.hello(HandoverSender.PROTOCOL, now)
                                    : m.equals("ready")
                                            ? old.ready(now)
                                            : m.equals("owned") ? old.owned(now) : old.aborted("abort", now));
                }
                case "new hears" -> {
                    String m = toNew.poll();
                    did(
                            m.equals("offer")
                                    ? young.offered(HandoverSender.PROTOCOL, now)
                                    : m.equals("commit") ? young.committed(now) : young.retired(now));
                }
                case "prepared", "can't" -> {
                    preparing = false;
                    did(young.prepared(what.equals("can't") ? "no" : null, now));
                }
                case "new dies" -> newEnds();
                case "old dies" -> {
                    oldDead = true;
                    oldAccepts = false;
                }
                case "old waits" -> does(old.tick(LATE + now));
                case "new waits" -> did(young.tick(LATE + now));
                case "old learns" -> {
                    deathKnown = true;
                    does(old.died("dead", now));
                }
                default -> {
                    oldDeathKnown = true;
                    did(young.oldDied(now));
                }
            }
            check(what);
        }

        private void newEnds() {
            newDead = true;
            newAccepts = false;
        }

        private void does(List<HandoverSender.Idempotence> effects) {
            for (HandoverSender.Idempotence e : effects) {
                switch (e) {
                    case SPAWN -> {
                        spawned = true;
                        did(young.connected(now));
                    }
                    case SEND_OFFER -> toNew.add("offer");
                    case SEND_COMMIT -> toNew.add("commit");
                    case SEND_RETIRE -> toNew.add("retire");
                    case STOP_ACCEPTING -> oldAccepts = false;
                    case ACCEPT -> oldAccepts = true;
                    case KILL -> newEnds();
                    case TELL_FAILED, TELL_DONE -> told = true;
                    default -> {}
                }
            }
        }

        private void did(List<HandoverReceiver.Idempotence> effects) {
            for (HandoverReceiver.Idempotence e : effects) {
                switch (e) {
                    case SEND_HELLO -> toOld.add("hello");
                    case SEND_READY -> toOld.add("ready");
                    case SEND_OWNED -> toOld.add("owned");
                    case SEND_ABORT -> toOld.add("abort");
                    case PREPARE, PREPARE_FROM_LIST -> preparing = true;
                    case ACCEPT -> newAccepts = true;
                    case END -> newEnds();
                    default -> {}
                }
            }
        }

        private void check(String last) {
            assertTrue(!(oldAccepts && newAccepts), () -> "both accept after " + last);
            assertEquals(!oldDead && old.isAccepting(), oldAccepts, () -> "the old side's own word after " + last);
            assertEquals(!newDead && young.isAccepting(), newAccepts, () -> "the new side's own word after " + last);
        }

        String key() {
            return old.state() + " " + young.state() + toOld + toNew + spawned + oldDead + newDead + deathKnown
                    + oldDeathKnown + preparing + oldAccepts + newAccepts + told;
        }

        /** Nothing more happens by itself but what must: messages, learning of a death, waits that run out. */
        boolean settlesWithOneOwner() {
            for (int i = 0; i < 40; i++) {
                List<String> c = choices();
                c.removeAll(List.of("new dies", "old dies", "can't", "ask"));
                if (oldDead || newDead || c.size() > 2) { // waits run out after all else has happened
                    c.remove("old waits");
                    c.remove("new waits");
                }
                if (c.isEmpty() || c.equals(List.of("old waits")) && old.state() == HandoverSender.State.RETIRED) {
                    break;
                }
                step(c.get(0));
            }
            boolean nobodyLives = oldDead && newDead;
            return nobodyLives
                    || oldAccepts ^ newAccepts
                    || !spawned
                    || newDead && old.state() == HandoverSender.State.RETIRED; // it died alone, long after
        }
    }

    @Test
    void inEveryOrderOfMessagesDeathsAndWaitsNoTwoAcceptAndOneWillAsLongAsOneLives() {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<String>> open = new ArrayDeque<>(List.of(List.of()));
        while (!open.isEmpty()) {
            List<String> script = open.poll();
            World w = new World(script);
            if (!seen.add(w.key())) {
                continue;
            }
            assertTrue(new World(script).settlesWithOneOwner(), () -> "nobody accepts after " + script);
            for (String next : w.choices()) {
                List<String> longer = new ArrayList<>(script);
                longer.add(next);
                open.add(longer);
            }
        }
        assertTrue(seen.size() > 100, "states: " + seen.size());
    }

    @Test
    void aGoodUpgradeGoesStepByStep() {
        HandoverSender old = new HandoverSender(new HandoverSender.Bounds(20_000, 30_000, 5000, 10_000));
        assertEquals(List.of(HandoverSender.Idempotence.SPAWN), old.ask(0));
        assertEquals(List.of(), old.ask(1)); // one at a time
        assertEquals(List.of(HandoverSender.Idempotence.SEND_OFFER), old.hello(1, 500));
        assertEquals(
                List.of(HandoverSender.Idempotence.STOP_ACCEPTING, HandoverSender.Idempotence.SEND_COMMIT),
                old.ready(900));
        assertEquals(List.of(HandoverSender.Idempotence.DRAIN), old.owned(910));
        assertEquals(List.of(), old.tick(10_909));
        assertEquals(
                List.of(
                        HandoverSender.Idempotence.SEND_RETIRE,
                        HandoverSender.Idempotence.TELL_DONE,
                        HandoverSender.Idempotence.END_WHEN_DRAINED),
                old.tick(10_910));
        assertEquals(List.of(), old.died("later", 11_000));
    }

    @Test
    void aPortThatCannotBeGivenUpIsNeverCommittedAndIsTakenBackOnceTheNewProcessIsDead() {
        HandoverSender old = new HandoverSender(BOUNDS);
        old.ask(0);
        old.hello(1, 0);
        old.ready(0); // stop accepting, then send the commit
        assertEquals(
                List.of(HandoverSender.Idempotence.KILL),
                old.failed(HandoverSender.Idempotence.STOP_ACCEPTING, "a fault", 0));
        assertEquals(
                List.of(HandoverSender.Idempotence.ACCEPT, HandoverSender.Idempotence.TELL_FAILED),
                old.died("killed", 0));
        assertEquals("this process could not stop accepting: a fault", old.why());
        old.ask(0);
        assertEquals(
                List.of(HandoverSender.Idempotence.TELL_FAILED),
                old.failed(HandoverSender.Idempotence.SPAWN, "no such file", 0));
        assertEquals(
                List.of(),
                old.failed(HandoverSender.Idempotence.SEND_RETIRE, "gone", 0)); // what comes after it goes on
    }

    @Test
    void whatTakesTooLongIsKilledAndThePortIsTakenBackOnlyOnceItIsDead() {
        HandoverSender old = new HandoverSender(new HandoverSender.Bounds(20_000, 30_000, 5000, 10_000));
        old.ask(0);
        old.hello(1, 1);
        old.ready(2);
        assertEquals(List.of(HandoverSender.Idempotence.KILL), old.tick(5002));
        assertEquals(List.of(), old.owned(5003)); // too late: it is being killed
        assertEquals(
                List.of(HandoverSender.Idempotence.ACCEPT, HandoverSender.Idempotence.TELL_FAILED),
                old.died("killed", 5004));
        assertEquals("the new process did not take the port in time", old.why());
        assertEquals(List.of(HandoverSender.Idempotence.SPAWN), old.ask(6000)); // and may be asked again
    }

    @Test
    void anotherProtocolIsRefusedBeforeAnythingIsGivenUp() {
        HandoverSender old = new HandoverSender(BOUNDS);
        old.ask(0);
        assertEquals(List.of(HandoverSender.Idempotence.KILL), old.hello(2, 0.5));
        assertTrue(old.isAccepting());
        assertEquals(List.of(HandoverSender.Idempotence.TELL_FAILED), old.died("killed", 0.6));
        assertEquals("the new release speaks protocol 2, this one 1", old.why());
    }

    @Test
    void aProcessThatIsToldToEndCallsAnUpgradeOffUnlessThePortHasChangedHands() {
        HandoverSender old = new HandoverSender(BOUNDS);
        old.ask(0);
        assertEquals(List.of(HandoverSender.Idempotence.KILL), old.ending(0.1));
        old.died("killed", 0.2);
        assertEquals(List.of(), old.ask(0.3)); // none begins any more
        HandoverSender late = new HandoverSender(BOUNDS);
        late.ask(0);
        late.hello(HandoverSender.PROTOCOL, 0);
        late.ready(0);
        late.owned(0);
        assertEquals(List.of(), late.ending(0.1)); // the new one has the port, and this one drains already
        assertEquals(HandoverSender.State.PROBATION, late.state());
    }
}
