package linenring.planner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Plays a planner on a clock of its own behind one channel of limited rate, and records every command with its time. The planner
 * is called when something arrives and when it asked to be; a proxy acknowledges once its message has left the channel.
 */
final class RecordedHistory implements Commands {
    static final double START_MS = 1_000_000;
    private static final double SILENCE_CYCLE_MS = 20_000;
    private static final double SPEAKING_SHARE = 0.6;
    private static final int MESSAGE_HEAD_ENTRIES = 5;
    private static final int MOST_HOSTS = 1024;

    private record Event(double timeMs, long number, Consumer<Planner> input) {}

    private final PlannerSettings settings;
    private final IntPredicate isSometimesSilent;
    private final Planner planner;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::timeMs).thenComparingLong(Event::number));
    private final PriorityQueue<Double> calls = new PriorityQueue<>();
    private final List<String> commands = new ArrayList<>();
    private final BitSet ejected = new BitSet();
    private final double[] lastWeight = new double[MOST_HOSTS];
    private final ArrayDeque<Runnable> afterReconcile = new ArrayDeque<>();
    private double now = START_MS;
    private double channelFreeAt = START_MS;
    private double channelSlowdown = 1;
    private long arrivals;
    private int nonce;

    /** Proxies for which the condition holds acknowledge nothing in the last two fifths of every {@link #SILENCE_CYCLE_MS}. */
    RecordedHistory(PlannerSettings settings, IntPredicate isSometimesSilent) {
        this.settings = settings;
        this.isSometimesSilent = isSometimesSilent;
        planner = new Planner(settings, this);
    }

    double now() {
        return now;
    }

    /** All commands in order, each with its time. */
    List<String> commands() {
        return commands;
    }

    /** The weight that the host's entries were last given, 0 while it is ejected. */
    double weight(int host) {
        return ejected.get(host) ? 0 : lastWeight[host];
    }

    /** From now on the channel takes so many times as long for each entry. */
    void slowChannel(double slowdown) {
        channelSlowdown = slowdown;
    }

    /** Has something arrive so many milliseconds after the start. */
    void at(double elapsedMs, Consumer<Planner> what) {
        arrive(START_MS + elapsedMs, what);
    }

    /** Records what the planner answered to a question, like a command. */
    void record(String what) {
        commands.add(String.format(Locale.ROOT, "%.3f %s", now - START_MS, what));
    }

    void playTo(double elapsedMs) {
        double end = START_MS + elapsedMs;
        for (double next = nextCall(); next <= end; next = nextCall()) {
            callAt(next);
        }
    }

    private void arrive(double time, Consumer<Planner> what) {
        events.add(new Event(time, arrivals++, what));
    }

    private double nextCall() {
        double arrival =
                events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().timeMs();
        double call = calls.isEmpty() ? Double.POSITIVE_INFINITY : calls.peek();
        return Math.min(arrival, call);
    }

    private void callAt(double time) {
        now = time;
        while (!calls.isEmpty() && calls.peek() <= now) {
            calls.poll();
        }
        planner.advanceClock(now);
        while (!events.isEmpty() && events.peek().timeMs() <= now) {
            events.poll().input().accept(planner);
        }
        planner.reconcile();
        afterReconcile.forEach(Runnable::run);
        afterReconcile.clear();
    }

    private static String rounded(double value) {
        return String.format(Locale.ROOT, "%.9g", value);
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        lastWeight[host] = weight;
        record("weight table=" + table + " host=" + host + " " + rounded(weight));
    }

    @Override
    public void clearTable(int table) {
        record("clear table=" + table);
    }

    @Override
    public void setEjected(int host, boolean isEjected) {
        ejected.set(host, isEjected);
        record((isEjected ? "eject" : "restore") + " host=" + host);
    }

    @Override
    public void bindProxy(int table, int operations, int proxy) {
        record("bind table=" + table + " operations=" + operations + " proxy=" + proxy);
    }

    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        return proxy % 3 == 0 ? 1 : 0;
    }

    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        return (host + proxy) % 7 == 0 ? 1 : 0;
    }

    @Override
    public void setAdmission(int table, int operations, double admissionRatio, RetryPolicy retryPolicy) {
        record("admission table=" + table + " operations=" + operations + " " + rounded(admissionRatio) + " retries="
                + retriesText(retryPolicy));
    }

    @Override
    public void requestAcknowledgement(int requested) {
        nonce = requested;
        record("acknowledge nonce=" + requested);
    }

    @Override
    public double entriesInMessage(int proxy, double expected) {
        double sentAt = now;
        int requested = nonce;
        double entries = expected + MESSAGE_HEAD_ENTRIES;
        channelFreeAt = Math.max(now, channelFreeAt)
                + entries * channelSlowdown / settings.channel().entriesPerMs();
        double answeredAt = channelFreeAt + 2 * settings.channel().transitMs();
        if (!isSilent(proxy, answeredAt)) {
            double tookMs = Math.round(answeredAt - sentAt);
            afterReconcile.add(
                    () -> arrive(answeredAt, target -> target.messageAcknowledged(proxy, requested, tookMs)));
        }
        return expected;
    }

    private static String retriesText(RetryPolicy retryPolicy) {
        return switch (retryPolicy) {
            case NONE -> "0";
            case ONE_IF_NOT_EXECUTED -> "1";
            case ONE -> "2";
            case TWO -> "3";
        };
    }

    private boolean isSilent(int proxy, double atMs) {
        boolean isInLastFifths = (atMs - START_MS) % SILENCE_CYCLE_MS >= SPEAKING_SHARE * SILENCE_CYCLE_MS;
        return isInLastFifths && isSometimesSilent.test(proxy);
    }

    @Override
    public void requestCall(double atMs) {
        calls.add(atMs);
        record(String.format(Locale.ROOT, "call at=%.3f", atMs - START_MS));
    }

    @Override
    public void watchHostList() {
        record("watch host list");
    }
}
