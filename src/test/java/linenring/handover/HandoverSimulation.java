package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Simulates both processes of a handover and the messages between them, by replaying a history of events. */
final class HandoverSimulation {
    /** An event of the simulation. */
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
    private static final double TIMEOUT_EXCEEDED_MS = 1e9;
    /** Events that are left out while the simulation settles: deaths, failures, and new upgrade requests. */
    private static final List<Event> AVOIDABLE_EVENTS =
            List.of(Event.NEW_DIES, Event.OLD_DIES, Event.PREPARATION_FAILS, Event.UPGRADE_REQUESTED);

    private static final int MAX_STEPS_TO_SETTLE = 40;

    private final HandoverSender sender = new HandoverSender(TIMEOUTS);
    private final HandoverReceiver receiver = new HandoverReceiver(1);
    private final ArrayDeque<Message> messagesToOldProcess = new ArrayDeque<>();
    private final ArrayDeque<Message> messagesToNewProcess = new ArrayDeque<>();
    private boolean isSpawned;
    private boolean isOldProcessDead;
    private boolean isNewProcessDead;
    private boolean isOldProcessNotifiedOfDeath;
    private boolean isNewProcessNotifiedOfDeath;
    private boolean isPreparing;
    private boolean isOldProcessAccepting = true;
    private boolean isNewProcessAccepting;
    private boolean isOutcomeReported;
    private double nowMs;

    HandoverSimulation(List<Event> events) {
        events.forEach(this::handle);
    }

    /** Returns the events that can happen in the current state, in the order of their declaration. */
    List<Event> possibleEvents() {
        Set<Event> events = EnumSet.noneOf(Event.class);
        if (!isOldProcessDead) {
            addEventsOfOldProcess(events);
        }
        if (isSpawned && !isNewProcessDead) {
            addEventsOfNewProcess(events);
        }
        return new ArrayList<>(events);
    }

    private void addEventsOfOldProcess(Set<Event> events) {
        boolean isServing = sender.state() == HandoverSender.State.SERVING;
        addIf(events, Event.UPGRADE_REQUESTED, isServing && !isSpawned);
        addIf(events, Event.OLD_RECEIVES, !messagesToOldProcess.isEmpty());
        addIf(events, Event.OLD_DIES, isSpawned);
        addIf(events, Event.OLD_TIMES_OUT, isSpawned);
        addIf(events, Event.OLD_LEARNS_OF_DEATH, isSpawned && isNewProcessDead && !isOldProcessNotifiedOfDeath);
    }

    private void addEventsOfNewProcess(Set<Event> events) {
        boolean isSoleOwner = receiver.state() == HandoverReceiver.State.SOLE_OWNER;
        boolean hasReadAllMessages =
                messagesToNewProcess.isEmpty(); // messages sent before a death are read before the death is noticed
        addIf(events, Event.NEW_RECEIVES, !messagesToNewProcess.isEmpty());
        addIf(events, Event.PREPARED, isPreparing);
        addIf(events, Event.PREPARATION_FAILS, isPreparing);
        addIf(events, Event.NEW_DIES, true);
        addIf(events, Event.NEW_TIMES_OUT, !isSoleOwner);
        addIf(
                events,
                Event.NEW_LEARNS_OF_DEATH,
                isOldProcessDead && !isNewProcessNotifiedOfDeath && hasReadAllMessages);
    }

    private static void addIf(Set<Event> events, Event event, boolean isPossible) {
        if (isPossible) {
            events.add(event);
        }
    }

    private void handle(Event event) {
        nowMs++;
        switch (event) {
            case UPGRADE_REQUESTED -> performOldProcessEffects(sender.upgradeRequested(nowMs));
            case OLD_RECEIVES -> deliverToOldProcess(messagesToOldProcess.remove());
            case NEW_RECEIVES -> deliverToNewProcess(messagesToNewProcess.remove());
            case PREPARED -> {
                isPreparing = false;
                performNewProcessEffects(receiver.prepared(nowMs));
            }
            case PREPARATION_FAILS -> {
                isPreparing = false;
                performNewProcessEffects(receiver.preparationFailed("no", nowMs));
            }
            case NEW_DIES -> endNewProcess();
            case OLD_DIES -> {
                isOldProcessDead = true;
                isOldProcessAccepting = false;
            }
            case OLD_TIMES_OUT -> performOldProcessEffects(sender.tick(TIMEOUT_EXCEEDED_MS + nowMs));
            case NEW_TIMES_OUT -> performNewProcessEffects(receiver.tick(TIMEOUT_EXCEEDED_MS + nowMs));
            case OLD_LEARNS_OF_DEATH -> {
                isOldProcessNotifiedOfDeath = true;
                performOldProcessEffects(sender.newProcessDied("dead", nowMs));
            }
            case NEW_LEARNS_OF_DEATH -> {
                isNewProcessNotifiedOfDeath = true;
                performNewProcessEffects(receiver.oldProcessDied(nowMs));
            }
        }
        assertNotBothAccepting(event);
    }

    private void deliverToOldProcess(Message message) {
        performOldProcessEffects(
                switch (message) {
                    case HELLO -> sender.greeted(HandoverSender.PROTOCOL, nowMs);
                    case READY -> sender.ready(nowMs);
                    case OWNED -> sender.owned(nowMs);
                    default -> sender.aborted("abort", nowMs);
                });
    }

    private void deliverToNewProcess(Message message) {
        performNewProcessEffects(
                switch (message) {
                    case OFFER -> receiver.offered(HandoverSender.PROTOCOL, nowMs);
                    case COMMIT -> receiver.committed(nowMs);
                    default -> receiver.retired(nowMs);
                });
    }

    private void endNewProcess() {
        isNewProcessDead = true;
        isNewProcessAccepting = false;
    }

    private void performOldProcessEffects(List<HandoverSender.Effect> effects) {
        for (HandoverSender.Effect effect : effects) {
            switch (effect) {
                case SPAWN -> {
                    isSpawned = true;
                    performNewProcessEffects(receiver.connected(nowMs));
                }
                case SEND_OFFER -> messagesToNewProcess.add(Message.OFFER);
                case SEND_COMMIT -> messagesToNewProcess.add(Message.COMMIT);
                case SEND_RETIRE -> messagesToNewProcess.add(Message.RETIRE);
                case STOP_ACCEPTING -> isOldProcessAccepting = false;
                case ACCEPT -> isOldProcessAccepting = true;
                case KILL -> endNewProcess();
                case REPORT_FAILURE, REPORT_SUCCESS -> isOutcomeReported = true;
                case DRAIN, END_WHEN_DRAINED -> {}
            }
        }
    }

    private void performNewProcessEffects(List<HandoverReceiver.Effect> effects) {
        for (HandoverReceiver.Effect effect : effects) {
            switch (effect) {
                case SEND_HELLO -> messagesToOldProcess.add(Message.HELLO);
                case SEND_READY -> messagesToOldProcess.add(Message.READY);
                case SEND_OWNED -> messagesToOldProcess.add(Message.OWNED);
                case SEND_ABORT -> messagesToOldProcess.add(Message.ABORT);
                case PREPARE, PREPARE_FROM_CONFIGURATION -> isPreparing = true;
                case ACCEPT -> isNewProcessAccepting = true;
                case END -> endNewProcess();
            }
        }
    }

    private void assertNotBothAccepting(Event lastEvent) {
        assertFalse(
                isOldProcessAccepting && isNewProcessAccepting, () -> "both processes accept after event " + lastEvent);
        assertEquals(
                !isOldProcessDead && sender.isAccepting(),
                isOldProcessAccepting,
                () -> "wrong accepting state of the old process after event " + lastEvent);
        assertEquals(
                !isNewProcessDead && receiver.isAccepting(),
                isNewProcessAccepting,
                () -> "wrong accepting state of the new process after event " + lastEvent);
    }

    /** Returns the current state as text. Simulations with the same text behave alike from here on. */
    String stateKey() {
        return sender.state() + " " + receiver.state() + messagesToOldProcess + messagesToNewProcess + isSpawned
                + isOldProcessDead + isNewProcessDead + isOldProcessNotifiedOfDeath + isNewProcessNotifiedOfDeath
                + isPreparing + isOldProcessAccepting + isNewProcessAccepting + isOutcomeReported;
    }

    /**
     * Plays all events that must happen eventually; returns whether afterwards exactly one process accepts connections, or
     * both processes are dead.
     */
    boolean settlesWithOneAcceptingProcess() {
        for (int i = 0; i < MAX_STEPS_TO_SETTLE; i++) {
            List<Event> events = unavoidableEvents();
            boolean isOldProcessRetired = sender.state() == HandoverSender.State.RETIRED;
            if (events.isEmpty() || (isOldProcessRetired && events.equals(List.of(Event.OLD_TIMES_OUT)))) {
                break;
            }
            handle(events.get(0));
        }
        boolean areBothDead = isOldProcessDead && isNewProcessDead;
        boolean hasDiedAfterRetirement = isNewProcessDead && sender.state() == HandoverSender.State.RETIRED;
        return areBothDead || isOldProcessAccepting != isNewProcessAccepting || !isSpawned || hasDiedAfterRetirement;
    }

    private List<Event> unavoidableEvents() {
        List<Event> events = possibleEvents();
        events.removeAll(AVOIDABLE_EVENTS);
        if (isOldProcessDead || isNewProcessDead || events.size() > 2) { // timeouts happen only after all other events
            events.remove(Event.OLD_TIMES_OUT);
            events.remove(Event.NEW_TIMES_OUT);
        }
        return events;
    }
}
