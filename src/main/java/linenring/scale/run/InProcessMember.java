package linenring.scale.run;

import linenring.configuration.ControllerConfiguration;
import linenring.scale.fleet.InProcessController;
import linenring.scale.fleet.InProcessFleets;
import linenring.scale.fleet.SimulatedFleet;
import org.eclipse.jetty.util.thread.Scheduler;

/** A simulated controller and its fleet. */
final class InProcessMember implements AutoCloseable {
    private final SimulatedFleet fleet;
    private final InProcessFleets fleets;
    private InProcessController controller;
    private InProcessFleets.Connection connection;

    /** {@code keepsLedger}: whether it records the lists it receives, which takes time and memory. */
    InProcessMember(
            String name,
            ControllerConfiguration configuration,
            Scheduler scheduler,
            SimulatedFleet fleet,
            InProcessFleets fleets,
            boolean keepsLedger) {
        this.fleet = fleet;
        this.fleets = fleets;
        controller = new InProcessController(name, configuration, scheduler, keepsLedger);
    }

    void open() throws Exception { // Jetty's start() may throw any
        controller.open();
        connection = fleets.join(fleet, controller.codec(), controller.events());
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    InProcessController controller() {
        return controller;
    }

    InProcessFleets.Connection connection() {
        return connection;
    }

    /** Ends the controller and releases its memory; the fleet stays as it is. */
    void release() {
        connection.end();
        controller.close();
        controller = null;
    }

    @Override
    public void close() {
        if (controller != null && connection != null) {
            release();
        }
    }
}
