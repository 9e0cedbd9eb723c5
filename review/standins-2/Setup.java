import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** The configuration of one controller with a gateway, with the figures of a small deployment (docs/WIRE, gtc-dispatch). */
public final class Setup {
    public static final double UNSERVED_MAX_MS = 4100;

    public final Rig rig;
    public Rig.Agent agent;
    public String controllerAddress = "127.0.0.1";
    public int controllerPort;
    public String gatewayAddress = "127.0.0.1";
    public int gatewayPort;
    public String known = "";
    public String gatewaySettings = "";
    public int stopSendingMs = 2500;
    public int quoteMs = 2000;
    public int quoteObjectiveMs = 750;
    public int proxies = 6;
    public Process process;

    public Setup(Rig rig) throws IOException {
        this.rig = rig;
        agent = rig.new Agent();
        controllerPort = Rig.freePort("127.0.0.1");
        gatewayPort = Rig.freePort("127.0.0.1");
    }

    public Path configuration() throws IOException {
        String text = """
                {"name": "n0", "listen": "%s:%d", "discovery": "%s", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, %s
                 "settings": {
                  "Azs": ["brussel", "antwerpen", "gent"], "Kinds": ["small-2c", "wide-4c"],
                  "Discovery": "pushed", "FleetSize": 1, "Index": 0, "Zone": 0, "Quantum": 4000,
                  "Classes": [
                   {"Name": "quote", "Aim": %d, "Deadline": %d, "Effect": "retryable", "Points": 2.0},
                   {"Name": "book", "Aim": 1200000, "Deadline": 4000000, "Effect": "dedup", "Group": "zone",
                    "Window": 2500000, "Points": 3.0},
                   {"Name": "assign", "Aim": 750000, "Deadline": 2000000, "Effect": "fragile", "Points": 3.0}],
                  "Contract": {"Cold": 18000000, "ColdFrom": 0.18, "Fall": 3000000, "FallMultiple": 4.0,
                   "StopSendingWithin": %d},
                  "Specifics": {"ProxyCount": %d, "PushRate": 1200.0, "PerMessage": 4.0, "MostWaiting": 1800.0,
                   "UpdateCap": 30, "CountedOver": 10000000, "Propagation": 103000, "TransitMax": 257500,
                   "UnservedMax": 4100000, "ThrottleBy": "fraction", "DefaultSize": 6, "Interval": 500000,
                   "ReportsPerS": 150.0, "SelectsBy": "random", "UsualHow": 1, "Ejects": 8}}}
                """.formatted(
                        controllerAddress,
                        controllerPort,
                        agent.address(),
                        known,
                        quoteObjectiveMs * 1000,
                        quoteMs * 1000,
                        stopSendingMs * 1000,
                        proxies);
        return Files.writeString(rig.temp.resolve("config.json"), text);
    }

    public Path gateway() throws IOException {
        String text = """
                front {
                    listen "%s:%d"
                    proxy id=0 zone="brussel" usual=20
                    mark-header "x-mark"
                    operation "quote" effect="idempotent" objective="%dms" timeout="%dms"
                    operation "book" effect="fingerprinted" group="zone" window="2.5s" objective="1.2s" timeout="4s"
                    operation "assign" effect="side-effecting" objective="750ms" timeout="2s"
                    route "GET" "/quote" operation="quote"
                    route "POST" "/book" operation="book"
                    route "POST" "/assign" operation="assign"
                    body in-all="64MiB"
                    %s
                }
                """.formatted(gatewayAddress, gatewayPort, quoteObjectiveMs, quoteMs, gatewaySettings);
        return Files.writeString(rig.temp.resolve("front.kdl"), text);
    }

    /** Starts the controller with its gateway by the deploy file's command and waits until it serves. */
    public void serve() throws IOException {
        Path configuration = configuration();
        String command = Rig.runCommand(gateway().toString());
        process = rig.start("the controller with its gateway", command, Map.of("GW_CONFIG", configuration.toString()));
        rig.awaitLog("accepts requests at", 30_000);
    }

    /** Runs `linenring upgrade` and returns its exit code. */
    public int upgrade() throws IOException, InterruptedException {
        Process upgrade = rig.start(
                "the upgrade",
                "exec java -jar target/linenring.jar upgrade " + rig.temp.resolve("h"),
                Map.of());
        int code = upgrade.waitFor();
        rig.note("the upgrade ends with exit code " + code);
        return code;
    }
}
