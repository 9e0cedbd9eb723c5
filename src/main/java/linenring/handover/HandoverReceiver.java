package linenring.handover;

import java.util.List;

/** The process that is to take over: each event's effects, in order. No I/O; times are ms on the caller's clock. */
public final class HandoverReceiver {
    /** Where it stands. */
    public enum State {
        GREETED,
        PREPARING,
        READY,
        OWNING,
        ALONE,
        ENDED
    }

    /** What is to be done. */
    public enum Idempotence {
        SEND_HELLO,
        PREPARE,
        PREPARE_FROM_LIST,
        SEND_READY,
        ACCEPT,
        SEND_OWNED,
        SEND_ABORT,
        END
    }

    private final double waitMost;
    private State state = State.GREETED;
    private double since;
    private boolean oldIsDead;
    private String why = "";

    /** {@code waitMost}: ms that it waits for the old side's next word before the port is its own. */
    public HandoverReceiver(double waitMost) {
        this.waitMost = waitMost;
    }

    public State state() {
        return state;
    }

    public String why() {
        return why;
    }

    public boolean isAccepting() {
        return state == State.OWNING || state == State.ALONE;
    }

    private List<Idempotence> to(State next, double now, Idempotence... effects) {
        state = next;
        since = now;
        return List.of(effects);
    }

    public List<Idempotence> connected(double now) {
        return to(State.GREETED, now, Idempotence.SEND_HELLO);
    }

    public List<Idempotence> offered(int protocol, double now) {
        if (state != State.GREETED) {
            return List.of();
        }
        return to(
                State.PREPARING,
                now,
                protocol == HandoverSender.PROTOCOL ? Idempotence.PREPARE : Idempotence.PREPARE_FROM_LIST);
    }

    /** It could serve now, or not. */
    public List<Idempotence> prepared(String fault, double now) {
        if (state != State.PREPARING) {
            return List.of();
        }
        if (fault != null) {
            return ends(fault, now, !oldIsDead);
        }
        return oldIsDead ? to(State.ALONE, now, Idempotence.ACCEPT) : to(State.READY, now, Idempotence.SEND_READY);
    }

    public List<Idempotence> committed(double now) {
        return state == State.READY ? to(State.OWNING, now, Idempotence.ACCEPT, Idempotence.SEND_OWNED) : List.of();
    }

    public List<Idempotence> retired(double now) {
        return state == State.OWNING ? to(State.ALONE, now) : List.of();
    }

    /** The old side has called it off: it lives and serves, so this one ends, whatever it has. */
    public List<Idempotence> aborted(String reason, double now) {
        return state == State.ALONE || state == State.ENDED ? List.of() : ends(reason, now, false);
    }

    /** The old process is dead, for certain: nobody else can own the port. */
    public List<Idempotence> oldDied(double now) {
        oldIsDead = true;
        return switch (state) {
            case GREETED -> to(State.PREPARING, now, Idempotence.PREPARE_FROM_LIST);
            case READY -> to(State.ALONE, now, Idempotence.ACCEPT);
            case OWNING -> to(State.ALONE, now);
            default -> List.of(); // preparing: accepts once it is prepared
        };
    }

    /** The old process lives, but its connection is gone: it will kill this one or has forgotten it. */
    public List<Idempotence> cutOff(double now) {
        return state == State.ALONE || state == State.ENDED
                ? List.of()
                : ends("the connection to the old process is gone, which lives", now, false);
    }

    /** To be called often: what has taken too long. */
    public List<Idempotence> tick(double now) {
        return (state == State.GREETED || state == State.READY) && !oldIsDead && now - since >= waitMost
                ? ends("the old process says nothing", now, true)
                : List.of();
    }

    private List<Idempotence> ends(String reason, double now, boolean tell) {
        why = reason;
        return tell
                ? to(State.ENDED, now, Idempotence.SEND_ABORT, Idempotence.END)
                : to(State.ENDED, now, Idempotence.END);
    }
}
