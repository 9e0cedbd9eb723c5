import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A host hangs, so that requests wait for a stream to it in the gateway; then discovery lists it as Terminating. */
public final class DrainWithQueue {
    private static final double SLACK_MS = 300;

    private DrainWithQueue() {}

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, DrainWithQueue::body);
    }

    private static int body(Rig rig) throws Exception {
        Setup setup = new Setup(rig);
        setup.stopSendingMs = 1500; // hadley-midlands: the day's grace is 1.5 s or more, a quote times out after 5 s
        setup.quoteMs = 5000;
        setup.quoteObjectiveMs = 2000;
        boolean[] hangs = {false};
        List<H2Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            boolean isVictim = i == 1;
            // a host takes 12 requests of a connection at once and needs 350 ms for one
            H2Host host = new H2Host(rig, "s-" + i, 12, (path, key) -> isVictim && hangs[0] ? -1 : 350);
            hosts.add(host);
            setup.agent.set("s-" + i, host.address(), "brussel", "small-2c", "Ready", 0);
        }
        setup.gatewaySettings = "hosts connections=1 streams=32";
        setup.serve();
        H2Client client = new H2Client(rig, setup.gatewayAddress, setup.gatewayPort);
        Rig.await(() -> client.call("GET", "/quote", "w" + rig.ms(), 3000).equals("200"), 15_000, "a first answer");
        Rig.pause(3000);
        Thread load = H2Host.daemon(() -> {
            long start = System.nanoTime();
            for (int i = 0; i < 15 * 74; i++) { // 74 requests a second
                client.send("GET", "/quote", "q" + i);
                Rig.pause((start + (i + 1) * 1_000_000_000L / 74 - System.nanoTime()) / 1_000_000);
            }
        });
        load.start();
        Rig.pause(4000);
        H2Host victim = hosts.get(0);
        if (rig.trouble) {
            hangs[0] = true;
            rig.note("s-1 takes requests and answers none from now on");
        }
        Rig.pause(2900);
        setup.agent.set("s-1", victim.address(), "brussel", "small-2c", "Terminating", 0);
        double toldMs = rig.ms();
        load.join();
        Rig.pause(6000);
        double allowedMs = toldMs + setup.stopSendingMs + SLACK_MS;
        int late = 0;
        for (Map.Entry<String, Double> arrival : victim.arrivals.entrySet()) {
            if (arrival.getValue() > allowedMs) {
                late++;
                rig.note(String.format(
                        "%s was sent to s-1 %.0f ms after the notice", arrival.getKey(), arrival.getValue() - toldMs));
            }
        }
        Map<String, Integer> counts = new TreeMap<>();
        client.results.values().forEach(result -> counts.merge(result, 1, Integer::sum));
        rig.note("results: " + counts);
        rig.note("requests sent to s-1 over " + (setup.stopSendingMs + SLACK_MS) + " ms after the notice: " + late);
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
