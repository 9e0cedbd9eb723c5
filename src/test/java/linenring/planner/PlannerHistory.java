package linenring.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Plays a planner on a clock of its own, with proxies that acknowledge each message a fifth of a second later. It is called when
 * something arrives, and either at every tick or only when it asked to be.
 */
final class PlannerHistory implements Commands {
    private static final double TICK_MS = 100;
    private static final double ROUNDING_MS = 1;
    private static final double ACKNOWLEDGEMENT_MS = 200;
    private static final int PROXIES = 6;
    /** The proxy that acknowledges nothing, where there is one. */
    private static final int SILENT = 5;

    private final boolean everyTick;
    private final boolean oneIsSilent;
    private final PlannerPlayer player = new PlannerPlayer(FakeProxies.settings(0), this, this::requestTick);
    private final List<String> decisions = new ArrayList<>();
    private double nextTickMs = PlannerPlayer.START_MS;

    PlannerHistory(boolean everyTick, boolean oneIsSilent) {
        this.everyTick = everyTick;
        this.oneIsSilent = oneIsSilent;
    }

    double now() {
        return player.nowMs();
    }

    int calls() {
        return player.callCount();
    }

    /** All commands in order, each with its time. */
    List<String> decisions() {
        return decisions;
    }

    /** Has something arrive this number of milliseconds after the start. */
    void at(double elapsedMs, Consumer<Planner> input) {
        player.at(elapsedMs, input);
    }

    void passTo(double elapsedMs) {
        player.playTo(elapsedMs);
    }

    private void requestTick() {
        if (everyTick && nextTickMs <= now() + ROUNDING_MS) {
            nextTickMs = now() + TICK_MS;
            player.requestCall(nextTickMs);
        }
    }

    private void decided(String command) {
        decisions.add(now() + " " + command);
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
                player.atTime(
                        now() + ACKNOWLEDGEMENT_MS,
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
            player.requestCall(atMs);
        }
    }

    @Override
    public void watchHostList() {
        decided("watch");
    }
}
