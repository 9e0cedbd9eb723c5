package linenring.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linenring.planner.Planner;

/** The numbered host lists of the wire (each a Bank), kept until a newer list takes the number. */
final class HostLists {
    /** What a list says of a host; the wire's Mode. */
    enum Mode {
        READY("Running"),
        DRAINING("Stopping"),
        GONE("Deleted");

        private final String wireName;

        Mode(String wireName) {
            this.wireName = wireName;
        }

        /** Throws {@link SimulatorInputException} for another word. */
        static Mode read(SimulatorMessage message) {
            String text = message.text("Mode");
            for (Mode mode : values()) {
                if (mode.wireName.equals(text)) {
                    return mode;
                }
            }
            throw message.invalid("field Mode: '" + text + "' is not known");
        }
    }

    /** One host in a list; times in milliseconds. */
    record Entry(String host, double weight, int zone, int kind, double startedMs, Mode mode) {
        /** Reads an entry; a start time of 0 stands for long ago. */
        static Entry read(SimulatorMessage message) {
            Mode mode = Mode.read(message);
            double startedMs = message.millis("StartTime", 0);
            return new Entry(
                    message.text("Host"),
                    message.number("Heft", 1),
                    message.index("Dc", 0),
                    message.index("Model", 0),
                    startedMs == 0 ? Double.NEGATIVE_INFINITY : startedMs,
                    mode);
        }
    }

    private final Map<Integer, List<Entry>> lists = new HashMap<>();

    void put(int number, List<Entry> entries) {
        lists.put(number, List.copyOf(entries));
    }

    /** Has the planner read the list that a registry message names. */
    void deliver(SimulatorMessage message, HostNumbers hosts, Planner planner) {
        String scope = message.text("Scope");
        if (scope.equals("broken")) {
            return; // it is asked for again in time
        }
        if (!scope.equals("patch") && !scope.equals("whole") && !scope.equals("stale_copy")) {
            throw message.invalid("field Scope: '" + scope + "' is not known");
        }
        int number = message.index("Bank");
        List<Entry> entries = lists.get(number);
        if (entries == null) {
            throw message.invalid("field Bank: no list " + number + " has come");
        }
        planner.beginHostList(!scope.equals("patch"));
        for (Entry entry : entries) {
            deliver(entry, hosts.number(entry.host), planner);
        }
        planner.endHostList();
    }

    private static void deliver(Entry entry, int host, Planner planner) {
        switch (entry.mode) {
            case READY -> planner.hostReady(host, entry.zone, entry.kind, entry.weight, entry.startedMs);
            case DRAINING -> planner.hostDraining(host, entry.zone, entry.kind, entry.weight);
            case GONE -> planner.hostRemoved(host);
        }
    }
}
