package linenring.handover;

import java.util.ArrayList;
import java.util.List;

/**
 * The process that serves, at an upgrade: each event's effects, in order. No I/O; times are ms on the caller's clock.
 *
 * <p>It owns the port until it is told that the new one does, and gets it back if the new one dies before it was retired.
 * Between giving up the port and taking it back stands the new process's certain death: it is killed and waited for. So
 * no two processes accept at a time, and there is always one that does or will within a bound.
 */
public final class HandoverSender {
    /** Where it stands. */
    public enum State {
        SERVING,
        SPAWNED,
        OFFERED,
        COMMITTING,
        PROBATION,
        TAKING_BACK,
        GIVING_UP,
        RETIRED
    }

    /** What is to be done. */
    public enum Idempotence {
        SPAWN,
        SEND_OFFER,
        STOP_ACCEPTING,
        SEND_COMMIT,
        DRAIN,
        SEND_RETIRE,
        END_WHEN_DRAINED,
        KILL,
        ACCEPT,
        TELL_FAILED,
        TELL_DONE
    }

    /** How long each step may take, in ms: start and greet, prepare, take the port; and how long it must then live. */
    public record Bounds(double greet, double prepare, double take, double probation) {}

    /** What this release speaks. */
    public static final int PROTOCOL = 1;

    private final Bounds bounds;
    private State state = State.SERVING;
    private double since;
    private String why = "";
    private boolean ending;

    public HandoverSender(Bounds bounds) {
        this.bounds = bounds;
    }

    public State state() {
        return state;
    }

    /** Why the last attempt failed. */
    public String why() {
        return why;
    }

    /** Whether this process accepts, or will again without anybody's doing but the bounds'. */
    public boolean isAccepting() {
        return state.compareTo(State.COMMITTING) < 0 || state == State.GIVING_UP;
    }

    private List<Idempotence> to(State next, double now, Idempotence... effects) {
        state = next;
        since = now;
        return List.of(effects);
    }

    /** Somebody asks for an upgrade; nothing where one is under way. */
    public List<Idempotence> ask(double now) {
        return state == State.SERVING && !ending ? to(State.SPAWNED, now, Idempotence.SPAWN) : List.of();
    }

    /** This process is told to end: an upgrade that has not changed hands is called off, and none begins any more. */
    public List<Idempotence> ending(double now) {
        ending = true;
        return state == State.SPAWNED || state == State.OFFERED
                ? fails("this process was told to end", now)
                : List.of();
    }

    public List<Idempotence> hello(int protocol, double now) {
        if (state != State.SPAWNED) {
            return List.of();
        }
        return protocol == PROTOCOL
                ? to(State.OFFERED, now, Idempotence.SEND_OFFER)
                : fails("the new release speaks protocol " + protocol + ", this one " + PROTOCOL, now);
    }

    public List<Idempotence> ready(double now) {
        return state == State.OFFERED
                ? to(State.COMMITTING, now, Idempotence.STOP_ACCEPTING, Idempotence.SEND_COMMIT)
                : List.of();
    }

    public List<Idempotence> owned(double now) {
        return state == State.COMMITTING ? to(State.PROBATION, now, Idempotence.DRAIN) : List.of();
    }

    /** The new process says that it can't, or what it says can't be understood. */
    public List<Idempotence> aborted(String reason, double now) {
        return isUnderWay() ? fails(reason, now) : List.of();
    }

    /**
     * An effect could not be carried out: what is done instead of those after it, or nothing where they go on. No commit
     * follows a port that was not given up, as two processes would accept at it.
     */
    public List<Idempotence> failed(Idempotence what, String how, double now) {
        return switch (what) {
            case SPAWN -> died("it could not be started: " + how, now);
            case STOP_ACCEPTING -> aborted("this process could not stop accepting: " + how, now);
            default -> List.of();
        };
    }

    /** The new process is dead, for certain. */
    public List<Idempotence> died(String how, double now) {
        switch (state) {
            case SPAWNED, OFFERED -> {
                why = how;
                return to(State.SERVING, now, Idempotence.TELL_FAILED);
            }
            case GIVING_UP -> {
                return to(State.SERVING, now, Idempotence.TELL_FAILED);
            }
            case COMMITTING, PROBATION -> {
                why = how;
                return to(State.SERVING, now, Idempotence.ACCEPT, Idempotence.TELL_FAILED);
            }
            case TAKING_BACK -> {
                return to(State.SERVING, now, Idempotence.ACCEPT, Idempotence.TELL_FAILED);
            }
            default -> {
                return List.of(); // retired: the port is not ours any more
            }
        }
    }

    /** To be called often: what has taken too long, and the end of the probation. */
    public List<Idempotence> tick(double now) {
        double waited = now - since;
        return switch (state) {
            case SPAWNED -> waited < bounds.greet() ? List.of() : fails("the new process did not greet in time", now);
            case OFFERED -> waited < bounds.prepare() ? List.of() : fails("the new process was not ready in time", now);
            case COMMITTING ->
                waited < bounds.take() ? List.of() : fails("the new process did not take the port in time", now);
            case PROBATION ->
                waited < bounds.probation()
                        ? List.of()
                        : to(
                                State.RETIRED,
                                now,
                                Idempotence.SEND_RETIRE,
                                Idempotence.TELL_DONE,
                                Idempotence.END_WHEN_DRAINED);
            default -> List.of();
        };
    }

    private boolean isUnderWay() {
        return state == State.SPAWNED
                || state == State.OFFERED
                || state == State.COMMITTING
                || state == State.PROBATION;
    }

    private List<Idempotence> fails(String reason, double now) {
        why = reason;
        List<Idempotence> effects = new ArrayList<>(List.of(Idempotence.KILL));
        effects.addAll(to(isAccepting() ? State.GIVING_UP : State.TAKING_BACK, now));
        return effects;
    }
}
