package linenring.handover;

import java.util.ArrayList;
import java.util.List;

/**
 * State machine of the serving process in an upgrade. Each event returns the effects for the caller to perform, in order. Does
 * no I/O; times are in ms on the caller's clock. Not thread-safe.
 *
 * <p>The serving process stops accepting before it sends the commit, and reclaims the port if the new process dies before the
 * serving process retires. Before the port is reclaimed, the new process is killed and its death awaited. So the two processes
 * never accept at the same time, and one of them always accepts or will accept within the timeouts.
 */
public final class HandoverSender {
    /** State of the upgrade, as known to the serving process. */
    public enum State {
        /** No upgrade is in progress. */
        SERVING,
        SPAWNED,
        OFFERED,
        /** This process has stopped accepting, and the new process has not yet confirmed that it accepts. */
        COMMITTING,
        PROBATION,
        /** The new process is being killed, and may have accepted connections. */
        RECLAIMING,
        /** The new process is being killed, and has never accepted connections. */
        ABORTING,
        RETIRED
    }

    /** An action for the caller to perform. */
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

    /**
     * Timeouts of an upgrade.
     *
     * @param greetMs limit for the new process to start and send its hello message
     * @param prepareMs limit for the new process to prepare
     * @param acceptMs limit for the new process to accept connections after the commit
     * @param probationMs time that the new process has to stay alive before this process retires
     */
    public record Timeouts(double greetMs, double prepareMs, double acceptMs, double probationMs) {}

    /** Version of the handover protocol that this release uses. */
    public static final int PROTOCOL = 1;

    private final Timeouts timeouts;
    private State state = State.SERVING;
    private double stateSinceMs;
    private String failureReason = "";
    private boolean isShuttingDown;

    /** Starts in {@link State#SERVING}, with no upgrade in progress. */
    public HandoverSender(Timeouts timeouts) {
        this.timeouts = timeouts;
    }

    /** Current state of the upgrade. */
    public State state() {
        return state;
    }

    /** Why the last upgrade failed. */
    public String failureReason() {
        return failureReason;
    }

    /** Whether the serving process accepts connections. */
    public boolean isAccepting() {
        return switch (state) {
            case SERVING, SPAWNED, OFFERED, ABORTING -> true;
            case COMMITTING, PROBATION, RECLAIMING, RETIRED -> false;
        };
    }

    private List<Effect> enter(State nextState, double nowMs, Effect... effects) {
        state = nextState;
        stateSinceMs = nowMs;
        return List.of(effects);
    }

    /** Handles a request to upgrade; returns no effects if an upgrade is in progress or the process shuts down. */
    public List<Effect> upgradeRequested(double nowMs) {
        boolean isPossible = state == State.SERVING && !isShuttingDown;
        return isPossible ? enter(State.SPAWNED, nowMs, Effect.SPAWN) : List.of();
    }

    /** Handles a shutdown: aborts an upgrade that has not reached the commit, and prevents further upgrades. */
    public List<Effect> shutdownRequested(double nowMs) {
        isShuttingDown = true;
        return state == State.SPAWNED || state == State.OFFERED
                ? killNewProcess("this process is shutting down", nowMs)
                : List.of();
    }

    /** Handles the new process's hello message; {@code protocol} is the handover protocol of the new process. */
    public List<Effect> greeted(int protocol, double nowMs) {
        if (state != State.SPAWNED) {
            return List.of();
        }
        return protocol == PROTOCOL
                ? enter(State.OFFERED, nowMs, Effect.SEND_OFFER)
                : killNewProcess(
                        "the new release uses handover protocol " + protocol + ", this release uses " + PROTOCOL,
                        nowMs);
    }

    /** Handles the readiness of the new process, which is able to serve. */
    public List<Effect> ready(double nowMs) {
        return state == State.OFFERED
                ? enter(State.COMMITTING, nowMs, Effect.STOP_ACCEPTING, Effect.SEND_COMMIT)
                : List.of();
    }

    /** Handles the confirmation that the new process accepts connections. */
    public List<Effect> owned(double nowMs) {
        return state == State.COMMITTING ? enter(State.PROBATION, nowMs, Effect.DRAIN) : List.of();
    }

    /** Handles an abort by the new process, or a malformed message from the new process. */
    public List<Effect> aborted(String reason, double nowMs) {
        return switch (state) {
            case SPAWNED, OFFERED, COMMITTING, PROBATION -> killNewProcess(reason, nowMs);
            case SERVING, RECLAIMING, ABORTING, RETIRED -> List.of();
        };
    }

    /**
     * Handles a failed effect: returns the effects that replace the remaining ones, or no effects if the remaining ones are
     * still to be performed. If accepting could not be stopped, no commit is sent, since two processes would accept.
     */
    public List<Effect> effectFailed(Effect effect, String cause, double nowMs) {
        return switch (effect) {
            case SPAWN -> newProcessDied("the new process could not be started: " + cause, nowMs);
            case STOP_ACCEPTING -> aborted("this process could not stop accepting connections: " + cause, nowMs);
            default -> List.of();
        };
    }

    /** Handles the certain death of the new process. */
    public List<Effect> newProcessDied(String cause, double nowMs) {
        if (state == State.SERVING || state == State.RETIRED) {
            return List.of(); // in RETIRED, this process does not own the port any more
        }
        if (state != State.ABORTING
                && state != State.RECLAIMING) { // otherwise the reason for killing the new process is kept
            failureReason = cause;
        }
        return isAccepting()
                ? enter(State.SERVING, nowMs, Effect.REPORT_FAILURE)
                : enter(State.SERVING, nowMs, Effect.ACCEPT, Effect.REPORT_FAILURE);
    }

    /** Handles timeouts and the end of the probation; to be called periodically. */
    public List<Effect> tick(double nowMs) {
        double waitedMs = nowMs - stateSinceMs;
        return switch (state) {
            case SPAWNED ->
                waitedMs < timeouts.greetMs()
                        ? List.of()
                        : killNewProcess("the new process did not greet in time", nowMs);
            case OFFERED ->
                waitedMs < timeouts.prepareMs()
                        ? List.of()
                        : killNewProcess("the new process was not ready in time", nowMs);
            case COMMITTING ->
                waitedMs < timeouts.acceptMs()
                        ? List.of()
                        : killNewProcess("the new process did not start to accept connections in time", nowMs);
            case PROBATION -> waitedMs < timeouts.probationMs() ? List.of() : retire(nowMs);
            case SERVING, RECLAIMING, ABORTING, RETIRED -> List.of();
        };
    }

    private List<Effect> retire(double nowMs) {
        return enter(State.RETIRED, nowMs, Effect.SEND_RETIRE, Effect.REPORT_SUCCESS, Effect.END_WHEN_DRAINED);
    }

    private List<Effect> killNewProcess(String reason, double nowMs) {
        failureReason = reason;
        List<Effect> effects = new ArrayList<>(List.of(Effect.KILL));
        effects.addAll(enter(isAccepting() ? State.ABORTING : State.RECLAIMING, nowMs));
        return effects;
    }
}
