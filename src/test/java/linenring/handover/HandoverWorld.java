package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Both processes of a handover, the messages between them, and who accepts: built anew from what happened. */
final class HandoverWorld {
    /** What can happen next. */
    enum Event {
        UPGRADE_REQUESTED,
        OLD_RECEIVES,
        NEW_RECEIVES,
        PREPARED,
        PREPARATION_FAILS,
        NEW_DIES,
        OLD_DIES,
        OLD_TIMES_OUT,
        NEW_TIMES_OUT,
        OLD_LEARNS_OF_DEATH,
        NEW_LEARNS_OF_DEATH
    }

    private enum Message {
        HELLO,
        OFFER,
        READY,
        COMMIT,
        OWNED,
        RETIRE,
        ABORT
    }

    private static final HandoverSender.Timeouts TIMEOUTS = new HandoverSender.Timeouts(1, 1, 1, 1);
    private static final double LONG_AFTER_MS = 1e9;
    /** What a world comes to rest without, or that would start it anew. */
    private static final List<Event> AVOIDABLE =
            List.of(Event.NEW_DIES, Event.OLD_DIES, Event.PREPARATION_FAILS, Event.UPGRADE_REQUESTED);

    private static final int MAX_STEPS_TO_REST = 40;

    private final HandoverSender sender = new HandoverSender(TIMEOUTS);
    private final HandoverReceiver receiver = new HandoverReceiver(1);
    private final ArrayDeque<Message> toOld = new ArrayDeque<>();
    private final ArrayDeque<Message> toNew = new ArrayDeque<>();
    private boolean isSpawned;
    private boolean isOldDead;
    private boolean isNewDead;
    private boolean oldKnowsOfDeath;
    private boolean newKnowsOfDeath;
    private boolean isPreparing;
    private boolean oldAccepts = true;
    private boolean newAccepts;
    private boolean isReported;
    private double nowMs;

    HandoverWorld(List<Event> events) {
        events.forEach(this::happens);
    }

    /** What can happen now, in the order of the events' declaration. */
    List<Event> choices() {
        Set<Event> choices = EnumSet.noneOf(Event.class);
        if (!isOldDead) {
            addChoicesOfOld(choices);
        }
        if (isSpawned && !isNewDead) {
            addChoicesOfNew(choices);
        }
        return new ArrayList<>(choices);
    }

    private void addChoicesOfOld(Set<Event> choices) {
        boolean isServing = sender.state() == HandoverSender.State.SERVING;
        addIf(choices, Event.UPGRADE_REQUESTED, isServing && !isSpawned);
        addIf(choices, Event.OLD_RECEIVES, !toOld.isEmpty());
        addIf(choices, Event.OLD_DIES, isSpawned);
        addIf(choices, Event.OLD_TIMES_OUT, isSpawned);
        addIf(choices, Event.OLD_LEARNS_OF_DEATH, isSpawned && isNewDead && !oldKnowsOfDeath);
    }

    private void addChoicesOfNew(Set<Event> choices) {
        boolean isSoleOwner = receiver.state() == HandoverReceiver.State.SOLE_OWNER;
        boolean allIsRead = toNew.isEmpty(); // what was sent before a death is read before its end
        addIf(choices, Event.NEW_RECEIVES, !toNew.isEmpty());
        addIf(choices, Event.PREPARED, isPreparing);
        addIf(choices, Event.PREPARATION_FAILS, isPreparing);
        addIf(choices, Event.NEW_DIES, true);
        addIf(choices, Event.NEW_TIMES_OUT, !isSoleOwner);
        addIf(choices, Event.NEW_LEARNS_OF_DEATH, isOldDead && !newKnowsOfDeath && allIsRead);
    }

    private static void addIf(Set<Event> choices, Event event, boolean isPossible) {
        if (isPossible) {
            choices.add(event);
        }
    }

    private void happens(Event event) {
        nowMs++;
        switch (event) {
            case UPGRADE_REQUESTED -> performOld(sender.upgradeRequested(nowMs));
            case OLD_RECEIVES -> oldReceives(toOld.remove());
            case NEW_RECEIVES -> newReceives(toNew.remove());
            case PREPARED -> {
                isPreparing = false;
                performNew(receiver.prepared(nowMs));
            }
            case PREPARATION_FAILS -> {
                isPreparing = false;
                performNew(receiver.preparationFailed("no", nowMs));
            }
            case NEW_DIES -> newEnds();
            case OLD_DIES -> {
                isOldDead = true;
                oldAccepts = false;
            }
            case OLD_TIMES_OUT -> performOld(sender.tick(LONG_AFTER_MS + nowMs));
            case NEW_TIMES_OUT -> performNew(receiver.tick(LONG_AFTER_MS + nowMs));
            case OLD_LEARNS_OF_DEATH -> {
                oldKnowsOfDeath = true;
                performOld(sender.newProcessDied("dead", nowMs));
            }
            case NEW_LEARNS_OF_DEATH -> {
                newKnowsOfDeath = true;
                performNew(receiver.oldProcessDied(nowMs));
            }
        }
        assertOneAccepts(event);
    }

    private void oldReceives(Message message) {
        performOld(
                switch (message) {
                    case HELLO -> sender.greeted(HandoverSender.PROTOCOL, nowMs);
                    case READY -> sender.ready(nowMs);
                    case OWNED -> sender.owned(nowMs);
                    default -> sender.aborted("abort", nowMs);
                });
    }

    private void newReceives(Message message) {
        performNew(
                switch (message) {
                    case OFFER -> receiver.offered(HandoverSender.PROTOCOL, nowMs);
                    case COMMIT -> receiver.committed(nowMs);
                    default -> receiver.retired(nowMs);
                });
    }

    private void newEnds() {
        isNewDead = true;
        newAccepts = false;
    }

    private void performOld(List<HandoverSender.Effect> effects) {
        for (HandoverSender.Effect effect : effects) {
            switch (effect) {
                case SPAWN -> {
                    isSpawned = true;
                    performNew(receiver.connected(nowMs));
                }
                case SEND_OFFER -> toNew.add(Message.OFFER);
                case SEND_COMMIT -> toNew.add(Message.COMMIT);
                case SEND_RETIRE -> toNew.add(Message.RETIRE);
                case STOP_ACCEPTING -> oldAccepts = false;
                case ACCEPT -> oldAccepts = true;
                case KILL -> newEnds();
                case REPORT_FAILURE, REPORT_SUCCESS -> isReported = true;
                case DRAIN, END_WHEN_DRAINED -> {}
            }
        }
    }

    private void performNew(List<HandoverReceiver.Effect> effects) {
        for (HandoverReceiver.Effect effect : effects) {
            switch (effect) {
                case SEND_HELLO -> toOld.add(Message.HELLO);
                case SEND_READY -> toOld.add(Message.READY);
                case SEND_OWNED -> toOld.add(Message.OWNED);
                case SEND_ABORT -> toOld.add(Message.ABORT);
                case PREPARE, PREPARE_FROM_CONFIGURATION -> isPreparing = true;
                case ACCEPT -> newAccepts = true;
                case END -> newEnds();
            }
        }
    }

    private void assertOneAccepts(Event last) {
        assertFalse(oldAccepts && newAccepts, () -> "both accept after " + last);
        assertEquals(!isOldDead && sender.isAccepting(), oldAccepts, () -> "what the old side holds after " + last);
        assertEquals(!isNewDead && receiver.isAccepting(), newAccepts, () -> "what the new side holds after " + last);
    }

    /** Two worlds of one key go on alike. */
    String key() {
        return sender.state() + " " + receiver.state() + toOld + toNew + isSpawned + isOldDead + isNewDead
                + oldKnowsOfDeath + newKnowsOfDeath + isPreparing + oldAccepts + newAccepts + isReported;
    }

    /** Nothing more happens but what must: messages, learning of a death, timeouts. Whether one process accepts then. */
    boolean settlesWithOneOwner() {
        for (int i = 0; i < MAX_STEPS_TO_REST; i++) {
            List<Event> choices = unavoidableChoices();
            boolean isRetired = sender.state() == HandoverSender.State.RETIRED;
            if (choices.isEmpty() || (isRetired && choices.equals(List.of(Event.OLD_TIMES_OUT)))) {
                break;
            }
            happens(choices.get(0));
        }
        boolean nobodyLives = isOldDead && isNewDead;
        boolean diedLongAfter = isNewDead && sender.state() == HandoverSender.State.RETIRED;
        return nobodyLives || oldAccepts != newAccepts || !isSpawned || diedLongAfter;
    }

    private List<Event> unavoidableChoices() {
        List<Event> choices = choices();
        choices.removeAll(AVOIDABLE);
        if (isOldDead || isNewDead || choices.size() > 2) { // timeouts come after all else has happened
            choices.remove(Event.OLD_TIMES_OUT);
            choices.remove(Event.NEW_TIMES_OUT);
        }
        return choices;
    }
}
