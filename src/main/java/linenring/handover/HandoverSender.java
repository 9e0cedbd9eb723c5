package linenring.handover;

import java.util.ArrayList;
import java.util.List;

/**
 * What the serving process does at each event of an upgrade: the effects, in order. Without I/O; times are ms on the caller's
 * clock. Not thread-safe.
 *
 * <p>It owns the port until the new process says that it does, and gets it back if the new one dies before this one retires.
 * Between giving up the port and taking it back stands the new process's certain death: it is killed and waited for. So no
 * two processes accept at a time, and there is always one that does or will within the timeouts.
 */
public final class HandoverSender {
    /** How far the upgrade has come. */
    public enum State {
        /** No upgrade is under way. */
        SERVING,
        SPAWNED,
        OFFERED,
        /** The port is given up, and the new process has not said that it accepts. */
        COMMITTING,
        PROBATION,
        /** The new process is being killed, and had the port or may have had it. */
        RECLAIMING,
        /** The new process is being killed, and never had the port. */
        ABORTING,
        RETIRED
    }

    /** What is to be done. */
    public enum Effect {
        SPAWN,
        SEND_OFFER,
        STOP_ACCEPTING,
        SEND_COMMIT,
        DRAIN,
        SEND_RETIRE,
        END_WHEN_DRAINED,
        KILL,
        ACCEPT,
        REPORT_FAILURE,
        REPORT_SUCCESS
    }

    /** How long the new process may take to start and greet, to prepare, to take the port; how long it must then live. */
    public record Timeouts(double greetMs, double prepareMs, double takeMs, double probationMs) {}

    /** What this release speaks. */
    public static final int PROTOCOL = 1;

    private final Timeouts timeouts;
    private State state = State.SERVING;
    private double stateSinceMs;
    private String failure = "";
    private boolean isEnding;

    /** With no upgrade under way. */
    public HandoverSender(Timeouts timeouts) {
        this.timeouts = timeouts;
    }

    /** How far the upgrade has come. */
    public State state() {
        return state;
    }

    /** Why the last upgrade failed. */
    public String failure() {
        return failure;
    }

    /** Whether this process accepts connections. */
    public boolean isAccepting() {
        return switch (state) {
            case SERVING, SPAWNED, OFFERED, ABORTING -> true;
            case COMMITTING, PROBATION, RECLAIMING, RETIRED -> false;
        };
    }

    private List<Effect> enter(State next, double nowMs, Effect... effects) {
        state = next;
        stateSinceMs = nowMs;
        return List.of(effects);
    }

    /** An upgrade is requested; nothing happens where one is under way. */
    public List<Effect> upgradeRequested(double nowMs) {
        boolean isPossible = state == State.SERVING && !isEnding;
        return isPossible ? enter(State.SPAWNED, nowMs, Effect.SPAWN) : List.of();
    }

    /** This process shuts down: an upgrade that has not given up the port is aborted, and none begins any more. */
    public List<Effect> shutdownRequested(double nowMs) {
        isEnding = true;
        return state == State.SPAWNED || state == State.OFFERED ? fail("this process shuts down", nowMs) : List.of();
    }

    /** The new process greets, and speaks this protocol. */
    public List<Effect> greeted(int protocol, double nowMs) {
        if (state != State.SPAWNED) {
            return List.of();
        }
        return protocol == PROTOCOL
                ? enter(State.OFFERED, nowMs, Effect.SEND_OFFER)
                : fail("the new release speaks protocol " + protocol + ", this one " + PROTOCOL, nowMs);
    }

    /** The new process could serve now. */
    public List<Effect> ready(double nowMs) {
        return state == State.OFFERED
                ? enter(State.COMMITTING, nowMs, Effect.STOP_ACCEPTING, Effect.SEND_COMMIT)
                : List.of();
    }

    /** The new process accepts connections. */
    public List<Effect> owned(double nowMs) {
        return state == State.COMMITTING ? enter(State.PROBATION, nowMs, Effect.DRAIN) : List.of();
    }

    /** The new process cannot go on, or what it sends cannot be understood. */
    public List<Effect> aborted(String reason, double nowMs) {
        return switch (state) {
            case SPAWNED, OFFERED, COMMITTING, PROBATION -> fail(reason, nowMs);
            case SERVING, RECLAIMING, ABORTING, RETIRED -> List.of();
        };
    }

    /**
     * An effect could not be carried out: what is done instead of those after it, or nothing where they go on. No commit
     * follows a port that was not given up, as two processes would accept at it.
     */
    public List<Effect> effectFailed(Effect effect, String how, double nowMs) {
        return switch (effect) {
            case SPAWN -> newProcessDied("it could not be started: " + how, nowMs);
            case STOP_ACCEPTING -> aborted("this process could not stop accepting: " + how, nowMs);
            default -> List.of();
        };
    }

    /** The new process is dead, for certain. */
    public List<Effect> newProcessDied(String how, double nowMs) {
        if (state == State.SERVING || state == State.RETIRED) {
            return List.of(); // retired: the port is not ours any more
        }
        if (state != State.ABORTING && state != State.RECLAIMING) { // else the reason why it was killed stays
            failure = how;
        }
        return isAccepting()
                ? enter(State.SERVING, nowMs, Effect.REPORT_FAILURE)
                : enter(State.SERVING, nowMs, Effect.ACCEPT, Effect.REPORT_FAILURE);
    }

    /** To be called often: ends what has taken too long, and the probation. */
    public List<Effect> tick(double nowMs) {
        double waitedMs = nowMs - stateSinceMs;
        return switch (state) {
            case SPAWNED ->
                waitedMs < timeouts.greetMs() ? List.of() : fail("the new process did not greet in time", nowMs);
            case OFFERED ->
                waitedMs < timeouts.prepareMs() ? List.of() : fail("the new process was not ready in time", nowMs);
            case COMMITTING ->
                waitedMs < timeouts.takeMs() ? List.of() : fail("the new process did not take the port in time", nowMs);
            case PROBATION -> waitedMs < timeouts.probationMs() ? List.of() : retire(nowMs);
            case SERVING, RECLAIMING, ABORTING, RETIRED -> List.of();
        };
    }

    private List<Effect> retire(double nowMs) {
        return enter(State.RETIRED, nowMs, Effect.SEND_RETIRE, Effect.REPORT_SUCCESS, Effect.END_WHEN_DRAINED);
    }

    private List<Effect> fail(String reason, double nowMs) {
        failure = reason;
        List<Effect> effects = new ArrayList<>(List.of(Effect.KILL));
        effects.addAll(enter(isAccepting() ? State.ABORTING : State.RECLAIMING, nowMs));
        return effects;
    }
}
