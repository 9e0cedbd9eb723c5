package linenring.simulator;

import linenring.planner.Planner;
import linenring.settings.SettingsReader;

/** One simulated controller: its planner while it runs, its own numbering of the hosts, and its commands in this reply. */
final class SimulatedController {
    private final HostNumbers hosts = new HostNumbers();
    private final CommandWriter commands;
    private Planner planner;

    SimulatedController(int id) {
        commands = new CommandWriter(id, hosts);
    }

    HostNumbers hosts() {
        return hosts;
    }

    /** Starts it anew by the settings in the message; nothing that it knew or commanded stays. */
    void start(SimulatorMessage settings) {
        hosts.clear();
        commands.clear();
        planner = new Planner(SettingsReader.read(settings), commands);
    }

    /** It ends without a word; what it has commanded in this batch is lost. */
    void crash() {
        planner = null;
        commands.clear();
    }

    /** Has its planner take what the message says, as of now. */
    void receive(SimulatorMessage message, HostLists lists, double nowMs) {
        decide(running -> running.advanceClock(nowMs));
        decide(running -> PlannerInputs.deliver(message, lists, hosts, running));
    }

    /** Decides on what has come in this batch; the commands. */
    String reconcile() {
        decide(Planner::reconcile);
        String lines = commands.lines();
        commands.clear();
        return lines;
    }

    /** A step of the planner; it is passed over while the controller does not run. */
    private interface Step {
        void apply(Planner planner);
    }

    /** Calls the decisions; a fault there is reported on the wire with its cause, and ends the controller. */
    private void decide(Step step) {
        if (planner == null) {
            return;
        }
        try {
            step.apply(planner);
        } catch (SimulatorInputException invalid) {
            throw invalid;
        } catch (RuntimeException fault) {
            StackTraceElement[] trace = fault.getStackTrace();
            commands.reportFault(fault + (trace.length > 0 ? " at " + trace[0] : ""));
            planner = null;
        }
    }
}
