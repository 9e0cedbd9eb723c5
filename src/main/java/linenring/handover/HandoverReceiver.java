package linenring.handover;

import java.util.List;

/**
 * State machine of the new process in a handover. Each event returns the effects for the caller to perform, in order. Does no
 * I/O; times are in ms on the caller's clock. Not thread-safe.
 */
public final class HandoverReceiver {
    /** State of the handover, as known to the new process. */
    public enum State {
        GREETED,
        PREPARING,
        READY,
        OWNING,
        SOLE_OWNER,
        ENDED
    }

    /** An action for the caller to perform. */
    public enum Effect {
        SEND_HELLO,
        PREPARE,
        /** Prepare from the host list in the configuration, without the offer of the old process. */
        PREPARE_FROM_CONFIGURATION,
        SEND_READY,
        ACCEPT,
        SEND_OWNED,
        SEND_ABORT,
        END
    }

    private final double silenceTimeoutMs;
    private State state = State.GREETED;
    private double stateSinceMs;
    private boolean isOldProcessDead;
    private String endReason = "";

    /** {@code silenceTimeoutMs}: how long the new process waits for a message of the old process before it exits. */
    public HandoverReceiver(double silenceTimeoutMs) {
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    /** Current state of the handover. */
    public State state() {
        return state;
    }

    /** Why the new process exits; empty unless it does. */
    public String endReason() {
        return endReason;
    }

    /** Whether the new process accepts connections. */
    public boolean isAccepting() {
        return state == State.OWNING || state == State.SOLE_OWNER;
    }

    private List<Effect> enter(State nextState, double nowMs, Effect... effects) {
        state = nextState;
        stateSinceMs = nowMs;
        return List.of(effects);
    }

    /** Handles the established connection to the old process. */
    public List<Effect> connected(double nowMs) {
        return enter(State.GREETED, nowMs, Effect.SEND_HELLO);
    }

    /** Handles the old process's offer; {@code protocol} is the handover protocol of the old process. */
    public List<Effect> offered(int protocol, double nowMs) {
        if (state != State.GREETED) {
            return List.of();
        }
        boolean hasSameProtocol = protocol == HandoverSender.PROTOCOL;
        return enter(State.PREPARING, nowMs, hasSameProtocol ? Effect.PREPARE : Effect.PREPARE_FROM_CONFIGURATION);
    }

    /** Handles the end of preparation: the new process is able to serve. */
    public List<Effect> prepared(double nowMs) {
        if (state != State.PREPARING) {
            return List.of();
        }
        return isOldProcessDead
                ? enter(State.SOLE_OWNER, nowMs, Effect.ACCEPT)
                : enter(State.READY, nowMs, Effect.SEND_READY);
    }

    /** Handles a failed preparation: the new process is unable to serve. */
    public List<Effect> preparationFailed(String reason, double nowMs) {
        return state == State.PREPARING ? endHandover(reason, nowMs, !isOldProcessDead) : List.of();
    }

    /** Handles the commit: the old process has stopped accepting connections. */
    public List<Effect> committed(double nowMs) {
        return state == State.READY ? enter(State.OWNING, nowMs, Effect.ACCEPT, Effect.SEND_OWNED) : List.of();
    }

    /** Handles the retirement of the old process, which will not reclaim the port any more. */
    public List<Effect> retired(double nowMs) {
        return state == State.OWNING ? enter(State.SOLE_OWNER, nowMs) : List.of();
    }

    /** Handles an abort by the old process. The old process is alive and serves, so the new process exits. */
    public List<Effect> aborted(String reason, double nowMs) {
        return isFinished() ? List.of() : endHandover(reason, nowMs, false);
    }

    /** Handles the certain death of the old process: only the new process can own the port now. */
    public List<Effect> oldProcessDied(double nowMs) {
        isOldProcessDead = true;
        return switch (state) {
            case GREETED -> enter(State.PREPARING, nowMs, Effect.PREPARE_FROM_CONFIGURATION);
            case READY -> enter(State.SOLE_OWNER, nowMs, Effect.ACCEPT);
            case OWNING -> enter(State.SOLE_OWNER, nowMs);
            case PREPARING, SOLE_OWNER, ENDED -> List.of(); // in PREPARING, prepared() starts to accept
        };
    }

    /** Handles a lost connection to a live old process, which will kill the new process or has already forgotten it. */
    public List<Effect> disconnected(double nowMs) {
        return isFinished()
                ? List.of()
                : endHandover("lost the connection to the old process, which is still running", nowMs, false);
    }

    /** Handles timeouts; to be called periodically. */
    public List<Effect> tick(double nowMs) {
        boolean isWaiting = (state == State.GREETED || state == State.READY) && !isOldProcessDead;
        return isWaiting && nowMs - stateSinceMs >= silenceTimeoutMs
                ? endHandover("the old process sent no message in time", nowMs, true)
                : List.of();
    }

    private boolean isFinished() {
        return state == State.SOLE_OWNER || state == State.ENDED;
    }

    private List<Effect> endHandover(String reason, double nowMs, boolean notifiesOldProcess) {
        endReason = reason;
        return notifiesOldProcess
                ? enter(State.ENDED, nowMs, Effect.SEND_ABORT, Effect.END)
                : enter(State.ENDED, nowMs, Effect.END);
    }
}
