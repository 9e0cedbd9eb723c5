package linenring.simulator;

import linenring.planner.Commands;

/**
 * Writes the commands of one simulated controller as lines of the wire, in the wire's words: a table is a Sheet, a weight a Heft,
 * an operation mask a Mask, a proxy a Sidecar, an ejection a cordon, an acknowledgement request a stamp with its nonce as Rev.
 */
final class CommandWriter implements Commands {
    private static final int ALARM_HANDLE = 1;
    private static final int MICROS_PER_MS = 1000;
    private static final double WHOLE_NUMBERS_BELOW = 1e9;
    private static final double DECIMALS = 1e4;

    private final int controllerId;
    private final HostNumbers hosts;
    private final StringBuilder lines = new StringBuilder();

    CommandWriter(int controllerId, HostNumbers hosts) {
        this.controllerId = controllerId;
        this.hosts = hosts;
    }

    /** All lines since the last clearing. */
    String lines() {
        return lines.toString();
    }

    void clear() {
        lines.setLength(0);
    }

    /** Reports a fault in the decisions, in place of what they commanded. */
    void reportFault(String cause) {
        clear();
        begin("broken")
                .field("Words", cause.replace('\n', ' ').replace('\r', ' '))
                .end();
    }

    private CommandWriter begin(String name) {
        lines.append(name);
        return field("StewardId", controllerId);
    }

    private CommandWriter field(String name, Object value) {
        lines.append(' ').append(name).append('=').append(value);
        return this;
    }

    private void end() {
        lines.append('\n');
    }

    private static String number(double value) {
        return value == Math.rint(value) && value < WHOLE_NUMBERS_BELOW
                ? Long.toString((long) value)
                : Double.toString(Math.round(value * DECIMALS) / DECIMALS);
    }

    private static int onFailure(RetryPolicy retryPolicy) {
        return switch (retryPolicy) {
            case NONE -> 0;
            case ONE_IF_NOT_EXECUTED -> 1;
            case ONE -> 2;
            case TWO -> 3;
        };
    }

    @Override
    public void setWeight(int table, int host, double weight) {
        begin("set_line")
                .field("Sheet", table)
                .field("Host", hosts.name(host))
                .field("Heft", number(weight))
                .end();
    }

    @Override
    public void clearTable(int table) {
        begin("wipe").field("Sheet", table).end();
    }

    @Override
    public void setEjected(int host, boolean ejected) {
        begin("cordon")
                .field("Host", hosts.name(host))
                .field("Flag", ejected ? 1 : 0)
                .end();
    }

    @Override
    public void bindProxy(int table, int operations, int proxy) {
        begin("subscribe_to")
                .field("Sheet", table)
                .field("Mask", operations)
                .field("Sidecar", proxy)
                .end();
    }

    /** On this wire a bind ends the ejections of other controllers by itself. */
    @Override
    public int extraEntriesOfBind(int table, int proxy) {
        return 0;
    }

    /** On this wire an entry says no more than its weight. */
    @Override
    public int extraEntriesOfWeight(int host, int proxy) {
        return 0;
    }

    @Override
    public void setAdmission(int table, int operations, double admissionRatio, RetryPolicy retryPolicy) {
        begin("level")
                .field("Sheet", table)
                .field("Mask", operations)
                .field("Level", number(admissionRatio))
                .field("OnFailure", onFailure(retryPolicy))
                .end();
    }

    @Override
    public void requestAcknowledgement(int nonce) {
        begin("stamp").field("Rev", nonce).field("Flag", 0).end();
    }

    /** This wire adds no entries to a message. */
    @Override
    public double entriesInMessage(int proxy, double expected) {
        return expected;
    }

    @Override
    public void requestCall(double atMs) {
        begin("set_alarm")
                .field("Time", Math.round(atMs * MICROS_PER_MS))
                .field("Handle", ALARM_HANDLE)
                .end();
    }

    @Override
    public void watchHostList() {
        begin("keep_informed").field("Flag", 1).end();
    }
}
