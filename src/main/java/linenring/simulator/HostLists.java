package linenring.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linenring.planner.Planner;

/** Stores the simulator's host lists by number (the protocol's Bank); a new list replaces the one with its number. */
final class HostLists {
    /** The state of a host in a list; the protocol's Mode. */
    enum Mode {
        READY("Running"),
        DRAINING("Stopping"),
        GONE("Deleted");

        private final String wireName;

        Mode(String wireName) {
            this.wireName = wireName;
        }

        /** Reads the mode of an entry; throws {@link SimulatorInputException} for an unknown value. */
        static Mode read(SimulatorMessage message) {
            String text = message.text("Mode");
            for (Mode mode : values()) {
                if (mode.wireName.equals(text)) {
                    return mode;
                }
            }
            throw message.invalid("field Mode: unknown value '" + text + "'");
        }
    }

    /** One host in a list; times are in ms. */
    record Entry(String host, double weight, int zone, int kind, double startedMs, Mode mode) {
        /** Reads an entry; a start time of 0 means that the host started long ago. */
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

    private final Map<Integer, List<Entry>> listsByNumber = new HashMap<>();

    void put(int listNumber, List<Entry> entries) {
        listsByNumber.put(listNumber, List.copyOf(entries));
    }

    /** Delivers to the planner the host list that a registry message names. */
    void deliver(SimulatorMessage message, HostIndices hosts, Planner planner) {
        String scope = message.text("Scope");
        if (scope.equals("broken")) {
            return; // a broken list is ignored; the list is requested again later
        }
        if (!scope.equals("patch") && !scope.equals("whole") && !scope.equals("stale_copy")) {
            throw message.invalid("field Scope: unknown value '" + scope + "'");
        }
        int listNumber = message.index("Bank");
        List<Entry> entries = listsByNumber.get(listNumber);
        if (entries == null) {
            throw message.invalid("field Bank: list " + listNumber + " was never received");
        }
        planner.beginHostList(!scope.equals("patch"));
        for (Entry entry : entries) {
            deliver(entry, hosts.indexOf(entry.host), planner);
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
