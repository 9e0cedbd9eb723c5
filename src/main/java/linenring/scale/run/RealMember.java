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

/** A real controller with a discovery agent and a fleet of its own, so that all its bytes are counted. */
final class RealMember implements AutoCloseable {
    private final ControllerChildProcess process;
    private final MeasuredConfiguration configuration;
    private final CatalogueServer server;
    private final SocketFleet fleet;

    RealMember(
            String name, Path folder, MeasuredConfiguration configuration, CatalogueServer server, SimulatedFleet fleet)
            throws IOException {
        this.configuration = configuration;
        this.server = server;
        process = new ControllerChildProcess(name, folder);
        this.fleet = new SocketFleet(fleet, process.listen(), "fleet-" + name);
    }

    /** An address at which nobody listens, for controllers that don't either. */
    static InetSocketAddress unusedAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    }

    /** Starts it and, once it serves, its fleet. */
    void open() throws IOException, InterruptedException {
        server.open();
        process.start(configuration, server.address());
        process.awaitPong();
        fleet.start();
    }

    /** Kills it and starts it again; its proxies reconnect until it is back. */
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

    /** All traffic so far, with its fleet and with its agent. */
    Traffic.Counts traffic() {
        long fromAgent = server.bytesOut();
        long toAgent = server.bytesIn();
        Traffic.Counts withAgent = new Traffic.Counts(fromAgent, toAgent, server.linesOut(), 0);
        return fleet.traffic().counts().plus(withAgent);
    }

    @Override
    public void close() {
        fleet.close();
        process.close();
        server.close();
    }
}
