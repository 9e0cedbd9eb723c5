package linenring.planner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Runs a planner on a simulated clock behind one channel of limited rate, and records every command with its time.
 * The planner is called on each input and at the times that it has requested; a proxy acknowledges a message once the
 * message has left the channel.
 */
final class RecordedHistory implements Commands {
    private static final double RESPONSE_CYCLE_MS = 20_000;
    private static final double RESPONSIVE_SHARE_OF_CYCLE = 0.6;
    private static final int MESSAGE_OVERHEAD_ENTRIES = 5;
    private static final int MAX_HOSTS = 1024;

    private final PlannerSettings settings;
    private final IntPredicate isSometimesUnresponsive;
    private final PlannerDriver player;
    private final List<String> commands = new ArrayList<>();
    private final BitSet ejected = new BitSet();
    private final double[] lastWeight = new double[MAX_HOSTS];
    private final ArrayDeque<Runnable> pendingAcknowledgements = new ArrayDeque<>();
    private double channelFreeAtMs = PlannerDriver.START_MS;
    private double channelSlowdown = 1;
    private int nonce;

    /**
     * Creates a history in which some proxies are unresponsive at times.
     *
     * @param isSometimesUnresponsive selects the proxies that acknowledge nothing in the last two fifths of every
     *     {@link #RESPONSE_CYCLE_MS}
     */
    RecordedHistory(PlannerSettings settings, IntPredicate isSometimesUnresponsive) {
        this.settings = settings;
        this.isSometimesUnresponsive = isSometimesUnresponsive;
        player = new PlannerDriver(settings, this, this::scheduleAcknowledgements);
    }

    double nowMs() {
        return player.nowMs();
    }

    /** Returns all recorded commands in order, each with its time. */
    List<String> commands() {
        return commands;
    }

    /** Returns the last written weight of the host; 0 while the host is ejected. */
    double weight(int host) {
        return ejected.get(host) ? 0 : lastWeight[host];
    }

    /** Slows the channel down by the given factor from now on; 1 is the stated rate. */
    void slowChannel(double slowdown) {
        channelSlowdown = slowdown;
    }

    /** Schedules an input for the given number of milliseconds after the start. */
    void at(double elapsedMs, Consumer<Planner> input) {
        player.at(elapsedMs, input);
    }

    /** Records a command, or a value that the planner returned, with the current time. */
    void record(String command) {
        commands.add(String.format(Locale.ROOT, "%.3f %s", nowMs() - PlannerDriver.START_MS, command));
    }

    void playTo(double elapsedMs) {
        player.playTo(elapsedMs);
    }

    private void scheduleAcknowledgements() {
        pendingAcknowledgements.forEach(Runnable::run);
        pendingAcknowledgements.clear();
    }

    private static String formatNumber(double value) {
        return String.format(Locale.ROOT, "%.9g", value);
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        lastWeight[host] = weight;
        record("weight table=" + table + " host=" + host + " " + formatNumber(weight));
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
        record("admission table=" + table + " operations=" + operations + " " + formatNumber(admissionRatio)
                + " retries=" + retryPolicyText(retryPolicy));
    }

    @Override
    public void requestAcknowledgement(int requestedNonce) {
        nonce = requestedNonce;
        record("acknowledge nonce=" + requestedNonce);
    }

    @Override
    public double entriesInMessage(int proxy, double expectedEntries) {
        double sentAtMs = nowMs();
        int requestedNonce = nonce;
        double entries = expectedEntries + MESSAGE_OVERHEAD_ENTRIES;
        channelFreeAtMs = Math.max(nowMs(), channelFreeAtMs)
                + entries * channelSlowdown / settings.channel().entriesPerMs();
        double acknowledgedAtMs = channelFreeAtMs + 2 * settings.channel().usualTransitMs();
        if (!isUnresponsive(proxy, acknowledgedAtMs)) {
            double tookMs = Math.round(acknowledgedAtMs - sentAtMs);
            pendingAcknowledgements.add(() -> player.atTime(
                    acknowledgedAtMs, planner -> planner.messageAcknowledged(proxy, requestedNonce, tookMs)));
        }
        return expectedEntries;
    }

    private static String retryPolicyText(RetryPolicy retryPolicy) {
        return switch (retryPolicy) {
            case NONE -> "0";
            case ONE_IF_NOT_EXECUTED -> "1";
            case ONE -> "2";
            case TWO -> "3";
        };
    }

    private boolean isUnresponsive(int proxy, double atMs) {
        boolean isInUnresponsivePhase =
                (atMs - PlannerDriver.START_MS) % RESPONSE_CYCLE_MS >= RESPONSIVE_SHARE_OF_CYCLE * RESPONSE_CYCLE_MS;
        return isInUnresponsivePhase && isSometimesUnresponsive.test(proxy);
    }

    @Override
    public void requestCall(double atMs) {
        player.requestCall(atMs);
        record(String.format(Locale.ROOT, "call at=%.3f", atMs - PlannerDriver.START_MS));
    }

    @Override
    public void watchHostList() {
        record("watch host list");
    }
}
