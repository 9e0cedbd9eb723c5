import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A new configuration moves discovery (SIGHUP) while an upgrade is in its probation; later a host drains. */
public final class ReloadDuringUpgrade {
    private static final double TOLD_AFTER_MS = 6000;
    private static final double SLACK_MS = 300;

    private ReloadDuringUpgrade() {}

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, ReloadDuringUpgrade::body);
    }

    private static void list(Rig.Agent agent, List<H2Host> hosts, String firstState) {
        for (int i = 0; i < hosts.size(); i++) {
            agent.set("s-" + (i + 1), hosts.get(i).address(), "brussel", "small-2c", i == 0 ? firstState : "Ready", 0);
        }
    }

    private static int body(Rig rig) throws Exception {
        Setup setup = new Setup(rig);
        List<H2Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            hosts.add(new H2Host(rig, "s-" + i, 100, (path, key) -> 60));
        }
        Rig.Agent first = setup.agent;
        Rig.Agent second = rig.new Agent();
        list(first, hosts, "Ready");
        list(second, hosts, "Ready");
        setup.gatewaySettings = "handover dir=\"" + rig.temp.resolve("h") + "\""; // the probation is 10 s by default
        setup.serve();
        H2Client client = new H2Client(rig, setup.gatewayAddress, setup.gatewayPort);
        Rig.await(() -> client.call("GET", "/quote", "w" + rig.ms(), 3000).equals("200"), 15_000, "a first answer");
        Thread load = H2Host.daemon(() -> {
            for (int i = 0; i < 42 * 40; i++) {
                client.send("GET", "/quote", "q" + i);
                Rig.pause(25);
            }
        });
        load.start();
        Rig.pause(2000);
        Thread upgrade = H2Host.daemon(() -> {
            try {
                setup.upgrade();
            } catch (Exception failure) {
                rig.note("the upgrade failed: " + failure);
            }
        });
        if (rig.trouble) {
            upgrade.start();
            rig.awaitLog("has the port", 20_000);
            Rig.pause(2000);
        }
        setup.agent = second;
        setup.configuration(); // replaces the file
        long program = setup.process.pid();
        new ProcessBuilder("kill", "-HUP", String.valueOf(program)).start().waitFor();
        rig.note("a new configuration names discovery at " + second.address() + "; SIGHUP to process " + program
                + ", which `run` has started");
        first.retire();
        Rig.pause(2000);
        upgrade.join(30_000);
        Rig.pause(5000); // time limits wait for 4 s after SIGHUP
        second.set("s-1", hosts.get(0).address(), "brussel", "small-2c", "Terminating", 0);
        double listedMs = rig.ms();
        double allowedMs = listedMs + TOLD_AFTER_MS + setup.stopSendingMs + SLACK_MS;
        load.join();
        Rig.pause(2500);
        long late = hosts.get(0).arrivals.values().stream().filter(ms -> ms > allowedMs).count();
        Map<String, Integer> counts = new TreeMap<>();
        client.results.values().forEach(result -> counts.merge(result, 1, Integer::sum));
        rig.note("results: " + counts);
        rig.note(String.format(
                "requests sent to s-1 over %.0f ms after discovery listed it as Terminating: %d; the last one after %.0f ms",
                allowedMs - listedMs,
                late,
                hosts.get(0).arrivals.values().stream().mapToDouble(ms -> ms).max().orElse(0) - listedMs));
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
