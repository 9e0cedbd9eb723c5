package linenring.planner;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Plays a planner on a simulated clock: calls the planner when an input is due and when the planner has requested a
 * call.
 */
final class PlannerDriver {
    static final double START_MS = 1_000_000;

    private record Input(double timeMs, long sequenceNumber, Consumer<Planner> action) {}

    private final Planner planner;
    private final Runnable afterCall;
    private final PriorityQueue<Input> inputs =
            new PriorityQueue<>(Comparator.comparingDouble(Input::timeMs).thenComparingLong(Input::sequenceNumber));
    private final PriorityQueue<Double> callTimesMs = new PriorityQueue<>();
    private double nowMs = START_MS;
    private long inputCount;
    private int callCount;

    /** Creates a player that runs the action after each reconciliation. */
    PlannerDriver(PlannerSettings settings, Commands commands, Runnable afterCall) {
        planner = new Planner(settings, commands);
        this.afterCall = afterCall;
    }

    double nowMs() {
        return nowMs;
    }

    /** Number of calls of the planner so far. */
    int callCount() {
        return callCount;
    }

    /** Schedules an input for this number of milliseconds after the start. */
    void at(double elapsedMs, Consumer<Planner> action) {
        atTime(START_MS + elapsedMs, action);
    }

    /** Schedules an input for this time of the clock. */
    void atTime(double timeMs, Consumer<Planner> action) {
        inputs.add(new Input(timeMs, inputCount++, action));
    }

    void requestCall(double timeMs) {
        callTimesMs.add(timeMs);
    }

    /** Plays until this number of milliseconds after the start has passed. */
    void playTo(double elapsedMs) {
        double endMs = START_MS + elapsedMs;
        for (double nextMs = nextCallMs(); nextMs <= endMs; nextMs = nextCallMs()) {
            callAt(nextMs);
        }
        nowMs = endMs;
    }

    private double nextCallMs() {
        double inputMs =
                inputs.isEmpty() ? Double.POSITIVE_INFINITY : inputs.peek().timeMs();
        double callMs = callTimesMs.isEmpty() ? Double.POSITIVE_INFINITY : callTimesMs.peek();
        return Math.min(inputMs, callMs);
    }

    private void callAt(double timeMs) {
        nowMs = timeMs;
        callCount++;
        while (!callTimesMs.isEmpty() && callTimesMs.peek() <= nowMs) {
            callTimesMs.poll();
        }
        planner.advanceClock(nowMs);
        while (!inputs.isEmpty() && inputs.peek().timeMs() <= nowMs) {
            inputs.poll().action().accept(planner);
        }
        planner.reconcile();
        afterCall.run();
    }
}
