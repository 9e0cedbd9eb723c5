package linenring.planner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Plays a planner on a clock of its own behind one channel of limited rate, and records every command with its time. The planner
 * is called when something arrives and when it asked to be; a proxy acknowledges once its message has left the channel.
 */
final class RecordedHistory implements Commands {
    private static final double SILENCE_CYCLE_MS = 20_000;
    private static final double SPEAKING_SHARE = 0.6;
    private static final int MESSAGE_HEAD_ENTRIES = 5;
    private static final int MOST_HOSTS = 1024;

    private final PlannerSettings settings;
    private final IntPredicate isSometimesSilent;
    private final PlannerPlayer player;
    private final List<String> commands = new ArrayList<>();
    private final BitSet ejected = new BitSet();
    private final double[] lastWeight = new double[MOST_HOSTS];
    private final ArrayDeque<Runnable> afterReconcile = new ArrayDeque<>();
    private double channelFreeAtMs = PlannerPlayer.START_MS;
    private double channelSlowdown = 1;
    private int nonce;

    /** Proxies for which the condition holds acknowledge nothing in the last two fifths of every {@link #SILENCE_CYCLE_MS}. */
    RecordedHistory(PlannerSettings settings, IntPredicate isSometimesSilent) {
        this.settings = settings;
        this.isSometimesSilent = isSometimesSilent;
        player = new PlannerPlayer(settings, this, this::deliverMessages);
    }

    double now() {
        return player.nowMs();
    }

    /** All commands in order, each with its time. */
    List<String> commands() {
        return commands;
    }

    /** The weight that the host's entries were last given, 0 while it is ejected. */
    double weight(int host) {
        return ejected.get(host) ? 0 : lastWeight[host];
    }

    /** From now on the channel takes this multiple of the time for each entry. */
    void slowChannel(double slowdown) {
        channelSlowdown = slowdown;
    }

    /** Has something arrive this number of milliseconds after the start. */
    void at(double elapsedMs, Consumer<Planner> input) {
        player.at(elapsedMs, input);
    }

    /** Records what the planner returned, like a command. */
    void record(String command) {
        commands.add(String.format(Locale.ROOT, "%.3f %s", now() - PlannerPlayer.START_MS, command));
    }

    void playTo(double elapsedMs) {
        player.playTo(elapsedMs);
    }

    private void deliverMessages() {
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
        double sentAtMs = now();
        int requested = nonce;
        double entries = expected + MESSAGE_HEAD_ENTRIES;
        channelFreeAtMs = Math.max(now(), channelFreeAtMs)
                + entries * channelSlowdown / settings.channel().entriesPerMs();
        double acknowledgedAtMs = channelFreeAtMs + 2 * settings.channel().transitMs();
        if (!isSilent(proxy, acknowledgedAtMs)) {
            double tookMs = Math.round(acknowledgedAtMs - sentAtMs);
            afterReconcile.add(() ->
                    player.atTime(acknowledgedAtMs, target -> target.messageAcknowledged(proxy, requested, tookMs)));
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
        boolean isInLastFifths =
                (atMs - PlannerPlayer.START_MS) % SILENCE_CYCLE_MS >= SPEAKING_SHARE * SILENCE_CYCLE_MS;
        return isInLastFifths && isSometimesSilent.test(proxy);
    }

    @Override
    public void requestCall(double atMs) {
        player.requestCall(atMs);
        record(String.format(Locale.ROOT, "call at=%.3f", atMs - PlannerPlayer.START_MS));
    }

    @Override
    public void watchHostList() {
        record("watch host list");
    }
}
