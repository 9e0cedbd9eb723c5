package linenring.scale.run;

import linenring.configuration.ControllerConfiguration;
import linenring.scale.fleet.HollowFleet;
import linenring.scale.fleet.HollowSteward;
import linenring.scale.fleet.MemoryFleets;
import org.eclipse.jetty.util.thread.Scheduler;

/** A hollow steward and its fleet. */
final class HollowMember implements AutoCloseable {
    private final HollowFleet fleet;
    private final MemoryFleets fleets;
    private HollowSteward steward;
    private MemoryFleets.Connection connection;

    /** {@code keepsLedger}: of what the catalogue tells it, which takes time and memory. */
    HollowMember(
            String name,
            ControllerConfiguration assignment,
            Scheduler scheduler,
            HollowFleet fleet,
            MemoryFleets fleets,
            boolean keepsLedger) {
        this.fleet = fleet;
        this.fleets = fleets;
        steward = new HollowSteward(name, assignment, scheduler, keepsLedger);
    }

    void open() throws Exception { // Jetty's start() may throw any
        steward.open();
        connection = fleets.join(fleet, steward.codec(), steward.exchange());
    }

    HollowFleet fleet() {
        return fleet;
    }

    HollowSteward steward() {
        return steward;
    }

    MemoryFleets.Connection connection() {
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
