import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulates the environment of a controller on one machine: a discovery agent with four hosts, two proxies and a collector. No
 * requests are sent; the load reports contain fixed numbers, and commands change them. Host s-N is listed at 127.0.0.1:900N,
 * where a test backend may listen. Start this program with {@code java example/Toy.java}, then start a controller with
 * example/configuration.json, and type {@code help}.
 */
public final class Toy {
    private static final String CONTROLLER = "127.0.0.1";
    private static final int CONTROLLER_PORT = 3000;
    private static final int DISCOVERY_PORT = 8500;
    private static final int HOSTS = 4;
    private static final int PROXIES = 2;
    private static final long KEEP_ALIVE_MS = 2000;
    private static final long REPORT_INTERVAL_MS = 500;
    private static final Pattern NONCE = Pattern.compile("\"nonce_out\":(\\d+)");

    private record Host(String zone, String state, long startedMs, long version) {}

    // hosts and version are guarded by the monitor of this class
    private static final Map<String, Host> hosts = new TreeMap<>();
    private static final Set<String> failing = ConcurrentHashMap.newKeySet();
    private static long version = 1;

    private Toy() {}

    public static void main(String[] args) throws IOException {
        for (int i = 1; i <= HOSTS; i++) {
            hosts.put("s-" + i, new Host(i % 2 == 1 ? "north" : "south", "Ready", 0, 1));
        }
        HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", DISCOVERY_PORT), 0);
        discovery.setExecutor(Executors.newCachedThreadPool());
        discovery.createContext("/catalog/members", Toy::answer);
        discovery.start();
        for (int id = 0; id < PROXIES; id++) {
            int proxy = id;
            new Thread(() -> forever(() -> runProxy(proxy))).start();
        }
        new Thread(() -> forever(Toy::runCollector)).start();
        commands();
        System.exit(0);
    }

    // Discovery agent: serves the host list over HTTP.

    /** Returns the complete host list, or only the entries that have changed since a version. */
    private static synchronized String list(long sinceVersion, boolean complete) {
        StringBuilder text = new StringBuilder();
        hosts.forEach((id, host) -> {
            if (complete || host.version > sinceVersion) {
                text.append(text.length() > 0 ? "," : "")
                        .append("{\"id\":\"")
                        .append(id)
                        .append("\",\"addr\":\"127.0.0.1:900")
                        .append(id.substring(id.length() - 1)) // port of an optional test backend
                        .append("\",\"zone\":\"")
                        .append(host.zone)
                        .append("\",\"kind\":\"small\",\"cell\":0,\"state\":\"")
                        .append(host.state)
                        .append("\",\"weight\":1.0,\"started_ms\":")
                        .append(host.startedMs)
                        .append('}');
            }
        });
        return "{\"version\":" + version + ",\"full\":" + complete + ",\"servers\":[" + text + "]}\n";
    }

    private static void answer(HttpExchange exchange) throws IOException {
        String query = String.valueOf(exchange.getRequestURI().getQuery());
        Matcher from = Pattern.compile("from=(\\d+)").matcher(query);
        long known = from.find() ? Long.parseLong(from.group(1)) : 0;
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(list(known, known == 0).getBytes(StandardCharsets.UTF_8));
            while (query.contains("watch=1")) { // sends a line for each change, or a blank line as keep-alive
                known = currentVersion();
                out.flush();
                String line = awaitChange(known) ? list(known, false) : "\n";
                out.write(line.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private static synchronized long currentVersion() {
        return version;
    }

    private static synchronized boolean awaitChange(long known) throws IOException {
        try {
            if (version == known) {
                Toy.class.wait(KEEP_ALIVE_MS);
            }
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
        return version != known;
    }

    private static synchronized void update(String id, String state, boolean starts) {
        Host before = hosts.getOrDefault(id, new Host("north", "", 0, 0));
        hosts.put(id, new Host(before.zone, state, starts ? System.currentTimeMillis() : before.startedMs, ++version));
        Toy.class.notifyAll();
    }

    // Proxies and collector: clients of the controller.

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void forever(Work work) {
        while (true) {
            try {
                work.run();
            } catch (IOException e) {
                // the controller is unreachable or has closed the stream; reconnect after a pause
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(REPORT_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void runProxy(int id) throws IOException, InterruptedException {
        try (Socket stream = new Socket(CONTROLLER, CONTROLLER_PORT)) {
            send(
                    stream,
                    "{\"@type\":\"SUBSCRIBE\",\"id\":" + id + ",\"site\":\"" + (id == 0 ? "north" : "south")
                            + "\",\"rps\":20.0,\"new\":true}");
            Thread rateReports = new Thread(() -> forever(() -> {
                for (String operation : new String[] {"read", "write"}) {
                    send(
                            stream,
                            "{\"@type\":\"RATE\",\"id\":" + id + ",\"lane\":\"" + operation
                                    + "\",\"count\":10,\"fail\":0,\"over\":500.0}");
                }
            }));
            rateReports.start();
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(stream.getInputStream(), StandardCharsets.UTF_8));
            for (String line; (line = in.readLine()) != null; ) {
                System.out.println("proxy " + id + " gets " + line);
                Matcher nonce = NONCE.matcher(line);
                if (nonce.find()) {
                    send(stream, "{\"@type\":\"ACK\",\"id\":" + id + ",\"seq\":" + nonce.group(1) + ",\"ms\":120.0}");
                }
            }
            rateReports.interrupt();
        }
    }

    private static void runCollector() throws IOException, InterruptedException {
        try (Socket stream = new Socket(CONTROLLER, CONTROLLER_PORT)) {
            send(stream, "{\"@type\":\"SOURCE\",\"site\":\"north\"}");
            while (true) {
                for (String id : ready()) {
                    send(
                            stream,
                            "{\"@type\":\"LOAD\",\"site\":\"north\",\"target\":\"" + id + "\",\"count\":10,\"fail\":"
                                    + (failing.contains(id) ? 9 : 0) + ",\"mean\":80.0,\"over\":500.0}");
                }
                Thread.sleep(REPORT_INTERVAL_MS);
            }
        }
    }

    private static synchronized Set<String> ready() {
        return new TreeMap<>(hosts)
                .entrySet().stream()
                        .filter(host -> host.getValue().state.equals("Ready"))
                        .collect(java.util.stream.Collectors.toMap(
                                Map.Entry::getKey, Map.Entry::getValue, (first, second) -> first, TreeMap::new))
                        .keySet();
    }

    private static void send(Socket stream, String line) throws IOException {
        synchronized (stream) {
            stream.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    // Commands on standard input that change hosts and load reports.

    private static void commands() throws IOException {
        String help = "drain HOST | gone HOST | start HOST | bad HOST | well HOST | quit";
        System.out.println(help);
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in));
        for (String line; (line = in.readLine()) != null && !line.equals("quit"); ) {
            String[] words = line.trim().split(" +");
            String host = words.length == 2 ? words[1] : "";
            switch (words.length == 2 ? words[0] : "") {
                case "drain" -> update(host, "Terminating", false);
                case "gone" -> update(host, "Gone", false);
                case "start" -> update(host, "Ready", true);
                case "bad" -> failing.add(host);
                case "well" -> failing.remove(host);
                default -> System.out.println(help);
            }
        }
    }
}
