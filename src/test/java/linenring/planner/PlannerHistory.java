package linenring.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs a planner on a simulated clock, with proxies that acknowledge each message 200 ms later. The planner is called
 * on each input, and in addition either at every tick or only at the times that it has requested.
 */
final class PlannerHistory implements Commands {
    private static final double TICK_MS = 100;
    private static final double ROUNDING_MS = 1;
    private static final double ACKNOWLEDGEMENT_MS = 200;
    private static final int PROXIES = 6;
    /** The proxy that does not acknowledge messages, in histories with an unresponsive proxy. */
    private static final int UNRESPONSIVE_PROXY = 5;

    private final boolean isCalledEveryTick;
    private final boolean hasUnresponsiveProxy;
    private final PlannerDriver player = new PlannerDriver(FakeProxies.settings(0), this, this::requestTick);
    private final List<String> decisions = new ArrayList<>();
    private double nextTickMs = PlannerDriver.START_MS;

    PlannerHistory(boolean isCalledEveryTick, boolean hasUnresponsiveProxy) {
        this.isCalledEveryTick = isCalledEveryTick;
        this.hasUnresponsiveProxy = hasUnresponsiveProxy;
    }

    double nowMs() {
        return player.nowMs();
    }

    int callCount() {
        return player.callCount();
    }

    /** Returns all commands in order, each with its time. */
    List<String> decisions() {
        return decisions;
    }

    /** Schedules an input for the given number of milliseconds after the start. */
    void at(double elapsedMs, Consumer<Planner> input) {
        player.at(elapsedMs, input);
    }

    void playTo(double elapsedMs) {
        player.playTo(elapsedMs);
    }

    private void requestTick() {
        if (isCalledEveryTick && nextTickMs <= nowMs() + ROUNDING_MS) {
            nextTickMs = nowMs() + TICK_MS;
            player.requestCall(nextTickMs);
        }
    }

    private void recordDecision(String command) {
        decisions.add(nowMs() + " " + command);
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        recordDecision("weight " + table + " " + host + " " + weight);
    }

    @Override
    public void clearTable(int table) {
        recordDecision("clear " + table);
    }

    @Override
    public void setEjected(int host, boolean eject) {
        recordDecision("eject " + host + " " + eject);
    }

    @Override
    public void bindProxy(int table, int operations, int proxy) {
        recordDecision("bind " + table + " " + operations + " " + proxy);
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
        recordDecision("admission " + table + " " + operations + " " + admissionRatio + " " + retryPolicy);
    }

    @Override
    public void requestAcknowledgement(int nonce) {
        recordDecision("acknowledge " + nonce);
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            int acknowledgingProxy = proxy;
            if (!hasUnresponsiveProxy || proxy != UNRESPONSIVE_PROXY) {
                player.atTime(
                        nowMs() + ACKNOWLEDGEMENT_MS,
                        planner -> planner.messageAcknowledged(acknowledgingProxy, nonce, ACKNOWLEDGEMENT_MS));
            }
        }
    }

    @Override
    public double entriesInMessage(int proxy, double expectedEntries) {
        return expectedEntries;
    }

    @Override
    public void requestCall(double atMs) {
        if (!isCalledEveryTick) {
            player.requestCall(atMs);
        }
    }

    @Override
    public void watchHostList() {
        recordDecision("watch");
    }
}
