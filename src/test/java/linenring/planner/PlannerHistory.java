package linenring.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Plays a planner on a clock of its own, with proxies that acknowledge each message a fifth of a second later. It is called when
 * something arrives, and either at every tick or only when it asked to be.
 */
final class PlannerHistory implements Commands {
    private static final double START_MS = 1_000_000;
    private static final double TICK_MS = 100;
    private static final double ROUNDING_MS = 1;
    private static final double ACKNOWLEDGEMENT_MS = 200;
    private static final int PROXIES = 6;
    /** The proxy that acknowledges nothing, where there is one. */
    private static final int SILENT = 5;

    private record Event(double timeMs, long number, Consumer<Planner> input) {}

    private final boolean everyTick;
    private final boolean oneIsSilent;
    private final Planner planner = new Planner(FakeProxies.settings(0), this);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::timeMs).thenComparingLong(Event::number));
    private final PriorityQueue<Double> calls = new PriorityQueue<>();
    private final List<String> decisions = new ArrayList<>();
    private double now = START_MS;
    private double tickAt = START_MS;
    private long arrivals;
    private int callCount;

    PlannerHistory(boolean everyTick, boolean oneIsSilent) {
        this.everyTick = everyTick;
        this.oneIsSilent = oneIsSilent;
    }

    double now() {
        return now;
    }

    int calls() {
        return callCount;
    }

    /** All commands in order, each with its time. */
    List<String> decisions() {
        return decisions;
    }

    /** Has something arrive so many milliseconds after the start. */
    void at(double elapsedMs, Consumer<Planner> input) {
        arrive(START_MS + elapsedMs, input);
    }

    private void arrive(double timeMs, Consumer<Planner> input) {
        events.add(new Event(timeMs, arrivals++, input));
    }

    void passTo(double elapsedMs) {
        double end = START_MS + elapsedMs;
        while (nextCall() <= end) {
            call(nextCall());
        }
        now = end;
    }

    private double nextCall() {
        double next =
                events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().timeMs();
        double timer = calls.isEmpty() ? Double.POSITIVE_INFINITY : calls.peek();
        return Math.min(next, timer);
    }

    private void call(double time) {
        now = time;
        callCount++;
        while (!calls.isEmpty() && calls.peek() <= now) {
            calls.poll();
        }
        if (everyTick && tickAt <= now + ROUNDING_MS) {
            tickAt = now + TICK_MS;
            calls.add(tickAt);
        }
        planner.advanceClock(now);
        while (!events.isEmpty() && events.peek().timeMs() <= now) {
            events.poll().input().accept(planner);
        }
        planner.reconcile();
    }

    private void decided(String command) {
        decisions.add(now + " " + command);
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        decided("weight " + table + " " + host + " " + weight);
    }

    @Override
    public void clearTable(int table) {
        decided("clear " + table);
    }

    @Override
    public void setEjected(int host, boolean eject) {
        decided("eject " + host + " " + eject);
    }

    @Override
    public void bindProxy(int table, int operations, int proxy) {
        decided("bind " + table + " " + operations + " " + proxy);
    }

    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        return 0;
    }

    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        return 0;
    }

    @Override
    public void setAdmission(int table, int operations, double admissionRatio, RetryPolicy retryPolicy) {
        decided("admission " + table + " " + operations + " " + admissionRatio + " " + retryPolicy);
    }

    @Override
    public void requestAcknowledgement(int nonce) {
        decided("acknowledge " + nonce);
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            int acknowledging = proxy;
            if (!oneIsSilent || proxy != SILENT) {
                arrive(
                        now + ACKNOWLEDGEMENT_MS,
                        target -> target.messageAcknowledged(acknowledging, nonce, ACKNOWLEDGEMENT_MS));
            }
        }
    }

    @Override
    public double entriesInMessage(int proxy, double expected) {
        return expected;
    }

    @Override
    public void requestCall(double atMs) {
        if (!everyTick) {
            calls.add(atMs);
        }
    }

    @Override
    public void watchHostList() {
        decided("watch");
    }
}
