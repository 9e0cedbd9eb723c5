package linenring.scale.run;

import linenring.configuration.ControllerConfiguration;
import linenring.scale.fleet.InProcessController;
import linenring.scale.fleet.InProcessFleets;
import linenring.scale.fleet.SimulatedFleet;
import org.eclipse.jetty.util.thread.Scheduler;

/** A simulated controller in this process, connected to a simulated fleet. */
final class SimulatedControllerWithFleet implements AutoCloseable {
    private final SimulatedFleet fleet;
    private final InProcessFleets fleets;
    private InProcessController controller;
    private InProcessFleets.Connection connection;

    /**
     * Creates the controller; if {@code keepsLedger}, it records the host lists that it receives, at a cost in time and
     * memory.
     */
    SimulatedControllerWithFleet(
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

    void open() throws Exception { // Jetty's start() declares Exception
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

    /** Disconnects and closes the controller and releases its memory; the fleet keeps its state. */
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
