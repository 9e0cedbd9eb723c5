import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** An upgrade where the controller and the gateway listen on the same port number of two addresses of one machine. */
public final class UpgradeOnSharedPort {
    private static final String CONTROLLER = "127.0.0.1";
    private static final String GATEWAY = "127.0.0.2";
    private static final int CALLS = 500;

    private UpgradeOnSharedPort() {}

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, UpgradeOnSharedPort::body);
    }

    /** Finds a port that is free on both addresses; the kernel lists the controller's listener before the gateway's. */
    private static int port(Rig rig) throws Exception {
        for (int i = 0; i < 300; i++) {
            int port = Rig.freePort(CONTROLLER);
            try (ServerSocket first = new ServerSocket();
                    ServerSocket second = new ServerSocket()) {
                first.bind(new InetSocketAddress(InetAddress.getByName(CONTROLLER), port));
                second.bind(new InetSocketAddress(InetAddress.getByName(GATEWAY), port));
                String hex = String.format(":%04X", port);
                for (String line : Files.readAllLines(Path.of("/proc/net/tcp"))) {
                    if (line.contains("0100007F" + hex + " 00000000:0000 0A")) {
                        rig.note("port " + port + ", listed for the controller first, after " + i + " others");
                        return port;
                    }
                    if (line.contains("0200007F" + hex + " 00000000:0000 0A")) {
                        break;
                    }
                }
            } catch (java.io.IOException used) {
                // the port is used on one of the addresses
            }
        }
        throw new IllegalStateException("no port found whose listeners the kernel lists in this order");
    }

    private static int body(Rig rig) throws Exception {
        Setup setup = new Setup(rig);
        setup.controllerAddress = CONTROLLER;
        setup.gatewayAddress = GATEWAY;
        setup.controllerPort = port(rig);
        setup.gatewayPort = setup.controllerPort;
        for (int i = 1; i <= 4; i++) {
            H2Host host = new H2Host(rig, "s-" + i, 100, (path, key) -> 20);
            setup.agent.set("s-" + i, host.address(), "brussel", "small-2c", "Ready", 0);
        }
        setup.gatewaySettings = "handover dir=\"" + rig.temp.resolve("h") + "\" probation=\"3s\"";
        setup.serve();
        H2Client client = new H2Client(rig, GATEWAY, setup.gatewayPort);
        Rig.await(() -> client.call("GET", "/quote", "w" + rig.ms(), 3000).equals("200"), 15_000, "a first answer");
        Thread load = H2Host.daemon(() -> {
            for (int i = 0; i < CALLS; i++) {
                client.send("GET", "/quote", "q" + i);
                Rig.pause(50);
            }
        });
        load.start();
        Rig.pause(3000);
        if (rig.trouble) {
            setup.upgrade();
        }
        load.join();
        Rig.pause(5000); // more than the request timeout of 2 s and half a second
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < CALLS; i++) {
            counts.merge(client.results.get("q" + i), 1, Integer::sum);
        }
        rig.note("results: " + counts);
        int lost = counts.getOrDefault(H2Client.OPEN, 0)
                + counts.getOrDefault("lost", 0)
                + counts.getOrDefault("unsent", 0);
        rig.note("requests without a final answer: " + lost + " of " + CALLS);
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
