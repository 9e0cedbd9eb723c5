package linenring.scale.run;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import linenring.scale.catalogue.CatalogueServer;
import linenring.scale.fleet.SimulatedFleet;
import linenring.scale.fleet.SocketFleet;
import linenring.scale.fleet.Traffic;
import linenring.scale.process.ControllerChildProcess;
import linenring.scale.process.MeasuredConfiguration;

/**
 * A real controller in a child process, with its own discovery agent and fleet, so that all bytes to and from it are
 * counted.
 */
final class RealControllerWithFleet implements AutoCloseable {
    private final ControllerChildProcess process;
    private final MeasuredConfiguration configuration;
    private final CatalogueServer server;
    private final SocketFleet fleet;

    RealControllerWithFleet(
            String name,
            Path directory,
            MeasuredConfiguration configuration,
            CatalogueServer server,
            SimulatedFleet fleet)
            throws IOException {
        this.configuration = configuration;
        this.server = server;
        process = new ControllerChildProcess(name, directory);
        this.fleet = new SocketFleet(fleet, process.listenAddress(), "fleet-" + name);
    }

    /** Returns an address without a listener, for simulated controllers, which do not listen. */
    static InetSocketAddress unusedAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    }

    /** Starts the controller, and the fleet once the controller answers PINGs. */
    void open() throws IOException, InterruptedException {
        server.open();
        process.start(configuration, server.address());
        process.awaitPong();
        fleet.start();
    }

    /** Kills and restarts the controller; its proxies retry their connections meanwhile. */
    void restart() throws IOException {
        process.kill();
        process.start(configuration, server.address());
    }

    ControllerChildProcess process() {
        return process;
    }

    CatalogueServer server() {
        return server;
    }

    SocketFleet fleet() {
        return fleet;
    }

    /** Returns the traffic of the controller with its fleet and its discovery agent since the start. */
    Traffic.Counts traffic() {
        long bytesFromAgent = server.bytesOut();
        long bytesToAgent = server.bytesIn();
        Traffic.Counts agentTraffic = new Traffic.Counts(bytesFromAgent, bytesToAgent, server.linesOut(), 0);
        return fleet.traffic().counts().plus(agentTraffic);
    }

    @Override
    public void close() {
        fleet.close();
        process.close();
        server.close();
    }
}
