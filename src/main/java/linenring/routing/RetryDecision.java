package linenring.routing;

import java.util.BitSet;
import java.util.function.DoubleSupplier;
import linenring.planner.Commands.RetryPolicy;

/**
 * The tries of one invocation: which host is next, until when, and when it is over. One attempt runs at a time. Calls
 * come one after the other, from any thread. Times are ms on the caller's clock.
 *
 * <p>Rules, in the order in which {@link #ended} asks them; the first that forbids a further try ends it:
 * the caller is gone or was already answered; the module's further tries are used up, or need a proof that is not
 * there; a side-effecting one may have run; a fingerprinted one has no mark, or its window is nearly over; its body is
 * no longer held; its integration timeout is over; no other host (of the same group, if one may have run) is open;
 * the budget is spent.
 */
public final class RetryDecision {
    /** What all invocations of one front share. {@code tryObjectives}: see {@link #giveUpAt}. */
    public record Terrain(
            Tables tables, HostRegistry hosts, RetryBudget budget, double tryObjectives, DoubleSupplier draw) {}

    /** What is to be done next. */
    public sealed interface Step {
        /**
         * Send it to this host by {@code by} or not at all, as a repeat that sets out later may come after the window in
         * which hosts know it; and give that attempt up at {@code until}.
         */
        record Send(int host, double by, double until) implements Step {}

        /** Answer now; {@code backIn} is ms, or infinity where no time to come back is known. */
        record GiveUp(Reason reason, double backIn) implements Step {}

        /** Pass on what the host has answered. */
        record PassOn() implements Step {}

        /** Nothing: nobody waits any more, or the answer has begun. */
        record Nothing() implements Step {}
    }

    /** Why there is no answer of a host. */
    public enum Reason {
        RATE_LIMITED,
        NO_HOST,
        ERRORED,
        TIMED_OUT
    }

    private static final Step NOTHING = new Step.Nothing();
    private static final Step PASS_ON = new Step.PassOn();
    /** Of a window: a repeat travels longer than the first by less than this; 0.5 s of a window of 2.5 s. */
    private static final double WINDOW_MARGIN = 0.2;

    private final Terrain terrain;
    private final int operation;
    private final Limits terms;
    private final boolean marked;
    private final double deadline;
    private final BitSet tried = new BitSet();
    private int further; // further tries begun
    private int mayHaveRunAt = -1; // the first host that may have run it
    private double mayHaveRunSince; // when it was sent there
    private int host = -1;
    private double sentAt;
    private boolean over;

    /** {@code marked}: it carries the mark by which hosts know a repeat. */
    public RetryDecision(Terrain terrain, int operation, Limits terms, boolean marked, double now) {
        this.terrain = terrain;
        this.operation = operation;
        this.terms = terms;
        this.marked = marked;
        deadline = now + terms.timeout();
    }

    /** The first step: lets it in or not, and picks. */
    public synchronized Step begin(double now, boolean bodyHeld) {
        double wait = terrain.tables().wait(operation, now, terrain.draw().getAsDouble());
        if (wait > 0) {
            over = true;
            return new Step.GiveUp(Reason.RATE_LIMITED, wait);
        }
        int first = terrain.tables().pick(operation, now, terrain.draw().getAsDouble());
        if (first == Tables.NONE) {
            over = true;
            return new Step.GiveUp(Reason.NO_HOST, Double.POSITIVE_INFINITY);
        }
        terrain.budget().first(now);
        return send(first, now, bodyHeld);
    }

    /** An attempt ended; {@code bodyHeld}: the whole body can be sent again. */
    public synchronized Step ended(Attempt attempt, double now, boolean bodyHeld) {
        if (over) {
            return NOTHING;
        }
        if (attempt.why() != Attempt.Why.GOING_AWAY) { // that one leaves in order, and has not errored
            terrain.tables().ended(host, false, now);
        }
        if (!attempt.neverRan() && mayHaveRunAt < 0) {
            mayHaveRunAt = host;
            mayHaveRunSince = sentAt;
        }
        if (mayTryAgain(attempt, now, bodyHeld)) {
            int next = terrain.tables().pick(operation, now, terrain.draw().getAsDouble(), this::isOpen);
            if (next != Tables.NONE && terrain.budget().take(now)) {
                further++;
                return send(next, now, bodyHeld);
            }
        }
        over = true;
        return attempt.why() == Attempt.Why.ANSWERED_ERRORED
                ? PASS_ON
                : new Step.GiveUp(
                        attempt.why() == Attempt.Why.TIMED_OUT ? Reason.TIMED_OUT : Reason.ERRORED,
                        Double.POSITIVE_INFINITY);
    }

    /** The host's answer is good and goes to the caller: nothing is tried after this. */
    public synchronized Step answered(double now) {
        if (over) {
            return NOTHING;
        }
        over = true;
        terrain.tables().ended(host, true, now);
        return PASS_ON;
    }

    /** The caller is gone, or gets an answer of ours: nothing is tried after this. False if it was over already. */
    public synchronized boolean abandoned() {
        boolean was = over;
        over = true;
        return !was;
    }

    private Step send(int to, double now, boolean bodyHeld) {
        host = to;
        sentAt = now;
        tried.set(to);
        return new Step.Send(to, sendBy(), giveUpAt(now, bodyHeld));
    }

    private double sendBy() {
        return mayHaveRunAt >= 0 && terms.effect() == Idempotence.FINGERPRINTED
                ? mayHaveRunSince + terms.window() * (1 - WINDOW_MARGIN)
                : Double.POSITIVE_INFINITY;
    }

    /**
     * An attempt that may be followed even though it may have run is given {@code tryObjectives} latency objectives;
     * any other has all the time there is.
     */
    private double giveUpAt(double now, boolean bodyHeld) {
        boolean mayFollow = terrain.tables().tries(operation).compareTo(RetryPolicy.ONE) >= 0
                && further < most()
                && repeatable()
                && bodyHeld;
        return mayFollow ? Math.min(deadline, now + terrain.tryObjectives() * terms.objective()) : deadline;
    }

    private int most() {
        return switch (terrain.tables().tries(operation)) {
            case NONE -> 0;
            case ONE_IF_NOT_EXECUTED, ONE -> 1;
            case TWO -> 2;
        };
    }

    private boolean repeatable() {
        return terms.effect() == Idempotence.IDEMPOTENT || terms.effect() == Idempotence.FINGERPRINTED && marked;
    }

    private boolean mayTryAgain(Attempt attempt, double now, boolean bodyHeld) {
        if (further >= most() || now >= deadline || !bodyHeld) {
            return false;
        }
        if (attempt.neverRan() && mayHaveRunAt < 0) {
            return true;
        }
        return terrain.tables().tries(operation) != RetryPolicy.ONE_IF_NOT_EXECUTED
                && repeatable()
                && (terms.effect() == Idempotence.IDEMPOTENT || now <= sendBy());
    }

    private boolean isOpen(int other) {
        return !tried.get(other)
                && (mayHaveRunAt < 0
                        || terms.effect() != Idempotence.FINGERPRINTED
                        || terrain.hosts().shareMarks(terms.group(), mayHaveRunAt, other));
    }

    public synchronized int attempts() {
        return host < 0 ? 0 : further + 1;
    }
}
