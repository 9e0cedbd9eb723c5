import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import linenring.testserver.TestClient;

/** A client that sends GET /quote at a steady rate, and connects anew after a GOAWAY or the end of its connection. */
final class Caller extends Thread {
    private record Sent(TestClient client, int stream, double atS) {}

    private final Lab lab;
    private final long intervalMs;
    private final ArrayDeque<Sent> open = new ArrayDeque<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, Integer> totals = new TreeMap<>();
    private TestClient client;
    private volatile boolean isStopped;

    Caller(Lab lab, long intervalMs) {
        super("caller");
        this.lab = lab;
        this.intervalMs = intervalMs;
        setDaemon(true);
        start();
    }

    @Override
    public void run() {
        try {
            while (!isStopped) {
                send();
                collect();
                TimeUnit.MILLISECONDS.sleep(intervalMs);
            }
        } catch (InterruptedException ended) {
            // the case is over
        }
    }

    private void send() {
        try {
            if (client == null || client.isClosed() || !client.goAways().isEmpty()) {
                client = new TestClient(lab.gatewayPort);
            }
            open.add(new Sent(client, client.send("GET", "/quote"), lab.nowS()));
        } catch (IOException failure) {
            client = null;
            count("not connected");
        }
    }

    private void collect() {
        open.removeIf(sent -> {
            TestClient.Response response = sent.client().response(sent.stream());
            if (response.hasEnded() || sent.client().isClosed()) {
                count(response.status() > 0 ? "status " + response.status() : "connection ended");
                return true;
            }
            return false;
        });
    }

    private synchronized void count(String outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
        totals.merge(outcome, 1, Integer::sum);
    }

    /** Returns the outcomes since the last call. */
    synchronized String takeOutcomes() {
        String text = outcomes.toString();
        outcomes.clear();
        return text;
    }

    /** Returns all outcomes so far. */
    synchronized Map<String, Integer> totals() {
        return new TreeMap<>(totals);
    }

    void end() {
        isStopped = true;
    }
}
