package linenring.scale.run;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import linenring.scale.catalogue.CatalogueServer;
import linenring.scale.fleet.SimulatedFleet;
import linenring.scale.fleet.SocketFleet;
import linenring.scale.fleet.Traffic;
import linenring.scale.process.ControllerProcess;
import linenring.scale.process.MeasuredConfiguration;

/** A real steward with the agent and the fleet that only it has, so that all its bytes are counted. */
final class RealMember implements AutoCloseable {
    private final ControllerProcess process;
    private final MeasuredConfiguration settings;
    private final CatalogueServer server;
    private final SocketFleet fleet;

    RealMember(String name, Path folder, MeasuredConfiguration settings, CatalogueServer server, SimulatedFleet fleet)
            throws IOException {
        this.settings = settings;
        this.server = server;
        process = new ControllerProcess(name, folder);
        this.fleet = new SocketFleet(fleet, process.listen(), "fleet-" + name);
    }

    /** An address at which nobody listens, for stewards that don't either. */
    static InetSocketAddress nowhere() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    }

    /** Starts it and, once it serves, its fleet. */
    void open() throws IOException, InterruptedException {
        server.open();
        process.start(settings, server.address());
        process.awaitPong();
        fleet.start();
    }

    /** Kills it and starts it anew; its proxies dial until it is back. */
    void restart() throws IOException {
        process.kill();
        process.start(settings, server.address());
    }

    ControllerProcess process() {
        return process;
    }

    CatalogueServer server() {
        return server;
    }

    SocketFleet fleet() {
        return fleet;
    }

    /** All that went to it and came from it so far: its fleet's and the catalogue's. */
    Traffic.Counts traffic() {
        Traffic.Counts catalogue = new Traffic.Counts(server.bytesOut(), server.bytesIn(), server.linesOut(), 0);
        return fleet.traffic().counts().plus(catalogue);
    }

    @Override
    public void close() {
        fleet.close();
        process.close();
        server.close();
    }
}
