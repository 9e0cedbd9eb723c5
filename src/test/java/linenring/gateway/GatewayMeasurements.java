package linenring.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.load.LoadGenerator;
import linenring.testserver.TestClient;

/** Manual measurements of a gateway in another process; not run with the tests. See docs/results.md. */
public final class GatewayMeasurements {
    private GatewayMeasurements() {}

    /**
     * Runs one measurement. {@code idle PORT CONNECTIONS STREAMS SECONDS} holds streams open; {@code stalled PORT COUNT}
     * measures a load while other clients accept no response data.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        int port = Integer.parseInt(args[1]);
        int count = Integer.parseInt(args[2]);
        if (args[0].equals("idle")) {
            holdIdleStreams(port, count, Integer.parseInt(args[3]), Integer.parseInt(args[4]));
        } else {
            loadBesideStalledClients(port, count);
        }
    }

    private static void holdIdleStreams(int port, int connections, int streams, int seconds)
            throws IOException, InterruptedException {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            TestClient client = new TestClient(port);
            clients.add(client);
            for (int j = 0; j < streams; j++) {
                client.send("GET", "/read/idle");
            }
        }
        TimeUnit.SECONDS.sleep(seconds);
        int endedStreams = 0;
        for (TestClient client : clients) {
            for (int j = 0; j < streams; j++) {
                endedStreams += client.response(2 * j + 1).hasEnded() ? 1 : 0;
            }
        }
        System.out.println(connections + " connections, " + endedStreams + " streams have ended");
    }

    private static void loadBesideStalledClients(int port, int count) throws IOException, InterruptedException {
        LoadGenerator.Plan plan = new LoadGenerator.Plan(
                "127.0.0.1",
                port,
                List.of(new LoadGenerator.CallTemplate("read", "GET", "/read", 1, false)),
                1000,
                1,
                4,
                8,
                3,
                5000,
                1);
        System.out.print("without stalled clients: " + LoadGenerator.formatTable(LoadGenerator.run(plan)));
        List<TestClient> stalledClients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TestClient client = new TestClient(port).stopWindowUpdates();
            stalledClients.add(client);
            client.send("GET", "/read/large");
        }
        System.out.print("with " + count + " stalled clients: " + LoadGenerator.formatTable(LoadGenerator.run(plan)));
        long open = stalledClients.stream()
                .filter(client -> !client.response(1).hasEnded())
                .count();
        System.out.println(open + " stalled clients still hold their streams");
    }
}
