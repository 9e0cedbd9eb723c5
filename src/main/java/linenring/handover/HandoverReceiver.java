package linenring.handover;

import java.util.List;

/**
 * What the new process does at each event of a handover: the effects, in order. Without I/O; times are ms on the caller's
 * clock. Not thread-safe.
 */
public final class HandoverReceiver {
    /** How far the handover has come, as this process sees it. */
    public enum State {
        GREETED,
        PREPARING,
        READY,
        OWNING,
        SOLE_OWNER,
        ENDED
    }

    /** What is to be done. */
    public enum Effect {
        SEND_HELLO,
        PREPARE,
        /** Without what the old process offers: from the list in the configuration. */
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

    /** {@code silenceTimeoutMs}: how long it waits for the old process's next message before it ends itself. */
    public HandoverReceiver(double silenceTimeoutMs) {
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    /** How far it has come. */
    public State state() {
        return state;
    }

    /** Why it ends; empty while it does not. */
    public String endReason() {
        return endReason;
    }

    /** Whether this process accepts connections. */
    public boolean isAccepting() {
        return state == State.OWNING || state == State.SOLE_OWNER;
    }

    private List<Effect> enter(State next, double nowMs, Effect... effects) {
        state = next;
        stateSinceMs = nowMs;
        return List.of(effects);
    }

    /** The connection to the old process is there. */
    public List<Effect> connected(double nowMs) {
        return enter(State.GREETED, nowMs, Effect.SEND_HELLO);
    }

    /** The old process, which speaks this protocol, offers what it has. */
    public List<Effect> offered(int protocol, double nowMs) {
        if (state != State.GREETED) {
            return List.of();
        }
        boolean isUnderstood = protocol == HandoverSender.PROTOCOL;
        return enter(State.PREPARING, nowMs, isUnderstood ? Effect.PREPARE : Effect.PREPARE_FROM_CONFIGURATION);
    }

    /** It could serve now. */
    public List<Effect> prepared(double nowMs) {
        if (state != State.PREPARING) {
            return List.of();
        }
        return isOldProcessDead
                ? enter(State.SOLE_OWNER, nowMs, Effect.ACCEPT)
                : enter(State.READY, nowMs, Effect.SEND_READY);
    }

    /** It cannot serve. */
    public List<Effect> preparationFailed(String reason, double nowMs) {
        return state == State.PREPARING ? end(reason, nowMs, !isOldProcessDead) : List.of();
    }

    /** The old process has given up the port. */
    public List<Effect> committed(double nowMs) {
        return state == State.READY ? enter(State.OWNING, nowMs, Effect.ACCEPT, Effect.SEND_OWNED) : List.of();
    }

    /** The old process will not take the port back any more. */
    public List<Effect> retired(double nowMs) {
        return state == State.OWNING ? enter(State.SOLE_OWNER, nowMs) : List.of();
    }

    /** The old process has aborted the handover: it lives and serves, so this one ends, whatever it has. */
    public List<Effect> aborted(String reason, double nowMs) {
        return isOver() ? List.of() : end(reason, nowMs, false);
    }

    /** The old process is dead, for certain: nobody else can own the port. */
    public List<Effect> oldProcessDied(double nowMs) {
        isOldProcessDead = true;
        return switch (state) {
            case GREETED -> enter(State.PREPARING, nowMs, Effect.PREPARE_FROM_CONFIGURATION);
            case READY -> enter(State.SOLE_OWNER, nowMs, Effect.ACCEPT);
            case OWNING -> enter(State.SOLE_OWNER, nowMs);
            case PREPARING, SOLE_OWNER, ENDED -> List.of(); // preparing: it accepts once it is prepared
        };
    }

    /** The old process lives, but the connection to it is gone: it will kill this one or does not know it any more. */
    public List<Effect> disconnected(double nowMs) {
        return isOver() ? List.of() : end("the connection to the old process is gone, which lives", nowMs, false);
    }

    /** To be called often: ends what has taken too long. */
    public List<Effect> tick(double nowMs) {
        boolean isWaiting = (state == State.GREETED || state == State.READY) && !isOldProcessDead;
        return isWaiting && nowMs - stateSinceMs >= silenceTimeoutMs
                ? end("the old process says nothing", nowMs, true)
                : List.of();
    }

    private boolean isOver() {
        return state == State.SOLE_OWNER || state == State.ENDED;
    }

    private List<Effect> end(String reason, double nowMs, boolean isToBeSent) {
        endReason = reason;
        return isToBeSent
                ? enter(State.ENDED, nowMs, Effect.SEND_ABORT, Effect.END)
                : enter(State.ENDED, nowMs, Effect.END);
    }
}
