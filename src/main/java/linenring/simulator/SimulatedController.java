package linenring.simulator;

import linenring.planner.Planner;
import linenring.settings.SettingsReader;

/**
 * One simulated controller: its planner, which is null unless the controller runs, its host indices and its commands.
 */
final class SimulatedController {
    private final HostIndices hosts = new HostIndices();
    private final CommandWriter commands;
    private Planner planner;

    SimulatedController(int id) {
        commands = new CommandWriter(id, hosts);
    }

    HostIndices hosts() {
        return hosts;
    }

    /**
     * Starts or restarts the controller with the settings in the message; all earlier state and commands are discarded.
     */
    void start(SimulatorMessage settings) {
        hosts.clear();
        commands.clear();
        planner = new Planner(SettingsReader.read(settings), commands);
    }

    /** Stops the controller as in a crash; its commands of the current batch are lost. */
    void crash() {
        planner = null;
        commands.clear();
    }

    /** Advances the planner's clock to {@code nowMs} and passes the message to the planner. */
    void receive(SimulatorMessage message, HostLists lists, double nowMs) {
        callPlanner(running -> running.advanceClock(nowMs));
        callPlanner(running -> PlannerInputs.deliver(message, lists, hosts, running));
    }

    /** Runs the planner's decisions for the current batch and returns the commands. */
    String reconcile() {
        callPlanner(Planner::reconcile);
        String lines = commands.lines();
        commands.clear();
        return lines;
    }

    /** A call of the planner; it is skipped while the controller does not run. */
    private interface PlannerCall {
        void apply(Planner planner);
    }

    /** Calls the planner; an unexpected exception is reported to the simulator and stops the controller. */
    private void callPlanner(PlannerCall call) {
        if (planner == null) {
            return;
        }
        try {
            call.apply(planner);
        } catch (SimulatorInputException invalid) {
            throw invalid;
        } catch (RuntimeException failure) {
            StackTraceElement[] trace = failure.getStackTrace();
            commands.reportFault(failure + (trace.length > 0 ? " at " + trace[0] : ""));
            planner = null;
        }
    }
}
