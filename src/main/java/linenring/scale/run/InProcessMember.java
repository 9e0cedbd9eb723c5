package linenring.scale.run;

import linenring.configuration.ControllerConfiguration;
import linenring.scale.fleet.InProcessController;
import linenring.scale.fleet.InProcessFleets;
import linenring.scale.fleet.SimulatedFleet;
import org.eclipse.jetty.util.thread.Scheduler;

/** A hollow steward and its fleet. */
final class InProcessMember implements AutoCloseable {
    private final SimulatedFleet fleet;
    private final InProcessFleets fleets;
    private InProcessController steward;
    private InProcessFleets.Connection connection;

    /** {@code keepsLedger}: of what the catalogue tells it, which takes time and memory. */
    InProcessMember(
            String name,
            ControllerConfiguration assignment,
            Scheduler scheduler,
            SimulatedFleet fleet,
            InProcessFleets fleets,
            boolean keepsLedger) {
        this.fleet = fleet;
        this.fleets = fleets;
        steward = new InProcessController(name, assignment, scheduler, keepsLedger);
    }

    void open() throws Exception { // Jetty's start() may throw any
        steward.open();
        connection = fleets.join(fleet, steward.codec(), steward.events());
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    InProcessController steward() {
        return steward;
    }

    InProcessFleets.Connection connection() {
        return connection;
    }

    /** Ends the steward and lets its memory go; the fleet stays as it is. */
    void letGo() {
        connection.end();
        steward.close();
        steward = null;
    }

    @Override
    public void close() {
        if (steward != null && connection != null) {
            letGo();
        }
    }
}
