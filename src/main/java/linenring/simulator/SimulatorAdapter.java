package linenring.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linenring.planner.Planner;
import linenring.settings.SettingsReader;

/** Hosts instances of the decisions on the simulator's wire: reads a batch, calls them, writes the orders. */
public final class SimulatorAdapter {
    /** One host's entry of a numbered list, kept until a newer list takes the number. */
    private record Entry(String host, double weight, int zone, int kind, double started, String mode) {}

    private final BufferedReader in;
    private final OutputStream out;
    private final SimulatorMessage line = new SimulatorMessage();
    private final Map<Integer, SimulatedController> stewards = new TreeMap<>();
    private final Map<Integer, List<Entry>> banks = new HashMap<>();
    private final List<SimulatedController> told = new ArrayList<>();
    private long lines;
    private double now;

    private SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Serves until the input ends; returns the exit code. */
    public static int run(InputStream in, PrintStream out, PrintStream err) throws IOException {
        try {
            SimulatorAdapter host = new SimulatorAdapter(in, out);
            while (host.batch()) {
                out.flush();
            }
            return 0;
        } catch (SimulatorInputException e) {
            err.println("linenring: " + e.getMessage());
            return 1;
        }
    }

    private boolean next() throws IOException {
        String text = in.readLine();
        lines++;
        if (text == null) {
            return false;
        }
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        line.read(text, lines);
        return true;
    }

    private boolean batch() throws IOException {
        do {
            if (!next()) {
                return false;
            }
        } while (line.name.isEmpty());
        if (!line.name.equals("batch")) {
            throw line.bad("expected a batch");
        }
        now = line.millis("Now");
        while (true) {
            if (!next()) {
                throw new SimulatorInputException(lines, "the input ends inside a batch");
            }
            if (line.name.equals("eob")) {
                break;
            }
            if (!line.name.isEmpty()) {
                event();
            }
        }
        StringBuilder reply = new StringBuilder();
        for (SimulatedController steward : told) {
            if (steward.planner != null) {
                decide(steward, steward.planner::reconcile);
            }
            reply.append(steward.commands);
            steward.commands.setLength(0);
            steward.told = false;
        }
        told.clear();
        out.write(reply.append("next\n").toString().getBytes(StandardCharsets.UTF_8));
        return true;
    }

    /** Calls into the decisions; whatever fails there is told on the wire with its cause. */
    private void decide(SimulatedController steward, Runnable call) {
        try {
            call.run();
        } catch (SimulatorInputException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            steward.broken(e + (trace.length > 0 ? " at " + trace[0] : ""));
            steward.planner = null;
        }
    }

    private void event() throws IOException {
        if (line.name.equals("catalog")) {
            catalog();
            return;
        }
        int id = line.index("StewardId");
        SimulatedController steward = stewards.get(id);
        if (line.name.equals("provision")) {
            if (steward == null) {
                steward = new SimulatedController(id);
                stewards.put(id, steward);
            }
            SimulatedController fresh = steward;
            fresh.forgetHosts();
            fresh.commands.setLength(0);
            fresh.planner = new Planner(SettingsReader.read(line), fresh);
        }
        if (steward == null) {
            throw line.bad("field StewardId: instance " + id + " was never started");
        }
        if (!steward.told) {
            steward.told = true;
            told.add(steward);
        }
        if (line.name.equals("crash_now")) {
            steward.planner = null;
            steward.commands.setLength(0);
        } else if (steward.planner != null) {
            SimulatedController one = steward;
            decide(one, () -> one.planner.advanceClock(now));
            decide(one, () -> call(one, one.planner));
        }
    }

    private void call(SimulatedController steward, Planner planner) {
        if (planner == null) {
            return;
        }
        switch (line.name) {
            case "provision" -> {}
            case "registry" -> registry(steward, planner);
            case "joined" -> planner.proxyJoined(line.index("Sidecar"), line.index("Dc", 0), line.number("Heft", 1));
            case "lost_stream" -> planner.proxyDisconnected(line.index("Sidecar"));
            case "in_force" ->
                planner.messageAcknowledged(line.index("Sidecar"), line.index("Rev"), line.millis("Rtt", 0));
            case "tally" ->
                planner.hostStatistics(
                        steward.host(line.text("Host")),
                        line.index("Dc", 0),
                        line.index("Total"),
                        line.index("Bad", 0),
                        line.millis("Rtt", 0),
                        line.millis("Elapsed", 0));
            case "traffic" ->
                planner.requestRate(
                        line.index("Sidecar"), line.index("Qos"), line.millis("Elapsed", 0), line.index("Total"));
            case "mandate" -> planner.setShardInCharge(line.index("Sheet"), line.flag("Flag"));
            case "held" ->
                planner.setShardOwner(line.index("Sheet"), steward.host(line.text("Host")), line.number("Heft", 1));
            case "elapsed" -> {} // settling is all it asks for
            case "key_load", "check_result", "heard" -> {} // no decision asks for these yet
            default -> throw line.bad("unknown message");
        }
    }

    private void registry(SimulatedController steward, Planner planner) {
        String scope = line.text("Scope");
        if (scope.equals("broken")) {
            return; // it is asked for again in time
        }
        if (!scope.equals("patch") && !scope.equals("whole") && !scope.equals("stale_copy")) {
            throw line.bad("field Scope: '" + scope + "' is not known");
        }
        int bank = line.index("Bank");
        List<Entry> entries = banks.get(bank);
        if (entries == null) {
            throw line.bad("field Bank: no list " + bank + " has come");
        }
        planner.beginHostList(!scope.equals("patch"));
        for (Entry entry : entries) {
            int host = steward.host(entry.host);
            switch (entry.mode) {
                case "Running" -> planner.hostReady(host, entry.zone, entry.kind, entry.weight, entry.started);
                case "Stopping" -> planner.hostDraining(host, entry.zone, entry.kind, entry.weight);
                default -> planner.hostRemoved(host);
            }
        }
        planner.endHostList();
    }

    private void catalog() throws IOException {
        int bank = line.index("Bank");
        int items = line.index("Items");
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            if (!next()) {
                throw new SimulatorInputException(lines, "the input ends inside a list");
            }
            if (!line.name.equals("entry")) {
                throw line.bad("expected an entry");
            }
            String mode = line.text("Mode");
            if (!mode.equals("Running") && !mode.equals("Stopping") && !mode.equals("Deleted")) {
                throw line.bad("field Mode: '" + mode + "' is not known");
            }
            double started = line.millis("StartTime", 0);
            entries.add(new Entry(
                    line.text("Host"),
                    line.number("Heft", 1),
                    line.index("Dc", 0),
                    line.index("Model", 0),
                    started == 0 ? Double.NEGATIVE_INFINITY : started,
                    mode));
        }
        banks.put(bank, entries);
    }
}
