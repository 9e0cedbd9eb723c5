package linenring.simulator;

import linenring.planner.Planner;

/** Translates messages of the simulator's protocol to inputs of a planner. */
final class PlannerInputs {
    private PlannerInputs() {}

    /** Calls the planner input of a message; throws {@link SimulatorInputException} for an unknown message or field. */
    static void deliver(SimulatorMessage message, HostLists lists, HostIndices hosts, Planner planner) {
        switch (message.name()) {
            case "registry" -> lists.deliver(message, hosts, planner);
            case "joined" ->
                planner.proxyJoined(message.index("Sidecar"), message.index("Dc", 0), message.number("Heft", 1));
            case "lost_stream" -> planner.proxyDisconnected(message.index("Sidecar"));
            case "in_force" ->
                planner.messageAcknowledged(message.index("Sidecar"), message.index("Rev"), message.millis("Rtt", 0));
            case "tally" -> deliverReport(message, hosts, planner);
            case "traffic" ->
                planner.requestRate(
                        message.index("Sidecar"),
                        message.index("Qos"),
                        message.millis("Elapsed", 0),
                        message.index("Total"));
            case "mandate" -> planner.setShardInCharge(message.index("Sheet"), message.flag("Flag"));
            case "held" ->
                planner.setShardOwner(
                        message.index("Sheet"), hosts.indexOf(message.text("Host")), message.number("Heft", 1));
            case "provision", "elapsed" -> {} // these messages only trigger the reconciliation at the end of the batch
            case "key_load", "check_result", "heard" -> {} // the planner does not use these messages
            default -> throw message.invalid("unknown message");
        }
    }

    private static void deliverReport(SimulatorMessage message, HostIndices hosts, Planner planner) {
        planner.hostStatistics(
                hosts.indexOf(message.text("Host")),
                message.index("Dc", 0),
                message.index("Total"),
                message.index("Bad", 0),
                message.millis("Rtt", 0),
                message.millis("Elapsed", 0));
    }
}
