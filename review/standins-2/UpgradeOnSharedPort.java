import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** An upgrade where the controller and the gateway listen on the same port number of two addresses of one machine. */
public final class UpgradeOnSharedPort {
    private static final String[] ADDRESSES = {"127.0.0.1", "127.0.0.2"};
    private static final int CALLS = 500;

    private UpgradeOnSharedPort() {}

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, UpgradeOnSharedPort::body);
    }

    /**
     * Finds a port that is free on both addresses, and sets the two addresses so that the kernel lists the controller's
     * listener before the gateway's, which is opened later.
     */
    private static void chooseAddresses(Rig rig, Setup setup) throws Exception {
        for (int i = 0; i < 300; i++) {
            int port = Rig.freePort(ADDRESSES[0]);
            String controller = ADDRESSES[i % 2];
            String gateway = ADDRESSES[1 - i % 2];
            try (ServerSocket first = new ServerSocket();
                    ServerSocket second = new ServerSocket()) {
                first.bind(new InetSocketAddress(InetAddress.getByName(controller), port));
                second.bind(new InetSocketAddress(InetAddress.getByName(gateway), port));
                if (isListedFirst(controller, port)) {
                    setup.controllerAddress = controller;
                    setup.gatewayAddress = gateway;
                    setup.controllerPort = port;
                    setup.gatewayPort = port;
                    rig.note("controller at " + controller + ", gateway at " + gateway + ", both with port " + port);
                    return;
                }
            } catch (java.io.IOException used) {
                // the port is used on one of the addresses
            }
        }
        throw new IllegalStateException("no port found whose listeners the kernel lists in this order");
    }

    private static boolean isListedFirst(String address, int port) throws java.io.IOException {
        String suffix = String.format(":%04X", port);
        for (String line : Files.readAllLines(Path.of("/proc/net/tcp"))) {
            String[] columns = line.trim().split("\\s+");
            if (columns.length > 3 && columns[1].endsWith(suffix) && columns[3].equals("0A")) {
                return columns[1].startsWith(address.equals(ADDRESSES[0]) ? "0100007F" : "0200007F");
            }
        }
        return false;
    }

    private static int body(Rig rig) throws Exception {
        Setup setup = new Setup(rig);
        chooseAddresses(rig, setup);
        for (int i = 1; i <= 4; i++) {
            H2Host host = new H2Host(rig, "s-" + i, 100, (path, key) -> 20);
            setup.agent.set("s-" + i, host.address(), "brussel", "small-2c", "Ready", 0);
        }
        setup.gatewaySettings = "handover dir=\"" + rig.temp.resolve("h") + "\" probation=\"3s\"";
        setup.serve();
        H2Client client = new H2Client(rig, setup.gatewayAddress, setup.gatewayPort);
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
        int unsent = counts.getOrDefault("unsent", 0); // no connection: told apart, and not judged
        int lost = counts.getOrDefault(H2Client.OPEN, 0) + counts.getOrDefault("lost", 0);
        rig.note("requests sent and without a final answer: " + lost + " of " + CALLS + "; without a connection: " + unsent);
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
