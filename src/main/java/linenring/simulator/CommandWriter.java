package linenring.simulator;

import linenring.planner.Commands;

/**
 * Encodes the commands of one simulated controller as lines of the simulator's protocol. In this protocol a table is a
 * Sheet, a weight a Heft, an operation mask a Mask, a proxy a Sidecar, an ejection a cordon, and an acknowledgement
 * request a stamp with its nonce as Rev.
 */
final class CommandWriter implements Commands {
    private static final int ALARM_HANDLE = 1;
    private static final int MICROS_PER_MS = 1000;
    private static final double INTEGER_FORMAT_LIMIT = 1e9;
    private static final double DECIMAL_SCALE = 1e4;

    private final int controllerId;
    private final HostIndices hosts;
    private final StringBuilder lines = new StringBuilder();

    CommandWriter(int controllerId, HostIndices hosts) {
        this.controllerId = controllerId;
        this.hosts = hosts;
    }

    /** Returns all lines that were written since the last call of {@link #clear}. */
    String lines() {
        return lines.toString();
    }

    void clear() {
        lines.setLength(0);
    }

    /** Replaces the commands written so far by a report of a failure of the planner. */
    void reportFault(String cause) {
        clear();
        beginLine("broken")
                .appendField("Words", cause.replace('\n', ' ').replace('\r', ' '))
                .endLine();
    }

    private CommandWriter beginLine(String name) {
        lines.append(name);
        return appendField("StewardId", controllerId);
    }

    private CommandWriter appendField(String name, Object value) {
        lines.append(' ').append(name).append('=').append(value);
        return this;
    }

    private void endLine() {
        lines.append('\n');
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && value < INTEGER_FORMAT_LIMIT
                ? Long.toString((long) value)
                : Double.toString(Math.round(value * DECIMAL_SCALE) / DECIMAL_SCALE);
    }

    private static int onFailureCode(RetryPolicy retryPolicy) {
        return switch (retryPolicy) {
            case NONE -> 0;
            case ONE_IF_NOT_EXECUTED -> 1;
            case ONE -> 2;
            case TWO -> 3;
        };
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        beginLine("set_line")
                .appendField("Sheet", table)
                .appendField("Host", hosts.name(host))
                .appendField("Heft", formatNumber(weight))
                .endLine();
    }

    @Override
    public void clearTable(int table) {
        beginLine("wipe").appendField("Sheet", table).endLine();
    }

    @Override
    public void setEjected(int host, boolean ejected) {
        beginLine("cordon")
                .appendField("Host", hosts.name(host))
                .appendField("Flag", ejected ? 1 : 0)
                .endLine();
    }

    @Override
    public void bindProxy(int table, int operations, int proxy) {
        beginLine("subscribe_to")
                .appendField("Sheet", table)
                .appendField("Mask", operations)
                .appendField("Sidecar", proxy)
                .endLine();
    }

    /** Returns 0, since a bind in the simulator's protocol implicitly ends the ejections of other controllers. */
    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        return 0;
    }

    /** Returns 0, since a table entry in the simulator's protocol contains only its weight. */
    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        return 0;
    }

    @Override
    public void setAdmission(int table, int operations, double admissionRatio, RetryPolicy retryPolicy) {
        beginLine("level")
                .appendField("Sheet", table)
                .appendField("Mask", operations)
                .appendField("Level", formatNumber(admissionRatio))
                .appendField("OnFailure", onFailureCode(retryPolicy))
                .endLine();
    }

    @Override
    public void requestAcknowledgement(int nonce) {
        beginLine("stamp").appendField("Rev", nonce).appendField("Flag", 0).endLine();
    }

    /** Returns {@code expected}, since the simulator's protocol adds no entries to a message. */
    @Override
    public double entriesInMessage(int proxy, double expected) {
        return expected;
    }

    @Override
    public void requestCall(double atMs) {
        beginLine("set_alarm")
                .appendField("Time", Math.round(atMs * MICROS_PER_MS))
                .appendField("Handle", ALARM_HANDLE)
                .endLine();
    }

    @Override
    public void watchHostList() {
        beginLine("keep_informed").appendField("Flag", 1).endLine();
    }
}
