import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/**
 * A discovery agent as PROTOCOL.md describes it: the complete list, and a watch with changes or the complete list first, then
 * changes, and an empty line every 2 s. Several agents may show one {@link Catalogue}.
 */
final class Discovery {
    private record Host(String address, String state, long version) {}

    /** The host list. Versions grow; {@link #loseVersions} counts them anew. */
    static final class Catalogue {
        private final Map<String, Host> hosts = new TreeMap<>();
        private final Lab lab;
        private long version;
        private long epoch; // counts the losses of versions

        Catalogue(Lab lab, long version) {
            this.lab = lab;
            this.version = version;
        }

        synchronized void set(String id, String address, String state) {
            version++;
            hosts.put(id, new Host(address, state, version));
            lab.note("discovery has version " + version + ": " + id + " at " + address + " is " + state);
            notifyAll();
        }

        /** Counts the versions anew, with the same hosts. */
        synchronized void loseVersions() {
            version = 1;
            epoch++;
            hosts.values().removeIf(host -> host.state().equals("Gone"));
            hosts.replaceAll((id, host) -> new Host(host.address(), host.state(), 1));
            lab.note("discovery has lost its versions and has version 1 of the same list");
            notifyAll();
        }

        synchronized String list(long from, boolean complete) {
            String entries = hosts.entrySet().stream()
                    .filter(host -> complete
                            ? !host.getValue().state().equals("Gone")
                            : host.getValue().version() > from)
                    .map(host -> "{\"id\":\"" + host.getKey() + "\",\"addr\":\""
                            + host.getValue().address() + "\",\"zone\":\"brussel\",\"kind\":\"small-2c\",\"cell\":0,\"state\":\""
                            + host.getValue().state() + "\",\"weight\":1.0,\"started_ms\":0}")
                    .collect(Collectors.joining(","));
            return "{\"version\":" + version + ",\"full\":" + complete + ",\"servers\":[" + entries + "]}";
        }
    }

    private static final long KEEP_ALIVE_MS = 2000;

    private final Catalogue catalogue;
    private final Lab lab;
    private final HttpServer server;
    private final String name;
    private final Set<HttpExchange> watches = ConcurrentHashMap.newKeySet();
    private final List<String> written = new ArrayList<>(); // guarded by itself
    private volatile boolean isClosed;
    private volatile boolean takesNoMore;

    Discovery(Lab lab, Catalogue catalogue, String name) throws IOException {
        this(lab, catalogue, name, 0);
    }

    Discovery(Lab lab, Catalogue catalogue, String name, int port) throws IOException {
        this.lab = lab;
        this.catalogue = catalogue;
        this.name = name;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "discovery");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/catalog/members", this::answer);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    private void answer(HttpExchange exchange) throws IOException {
        if (takesNoMore) {
            lab.note(name + " takes no new connection");
            exchange.close();
            return;
        }
        String query = exchange.getRequestURI().getQuery();
        lab.note(name + " is asked: " + exchange.getRequestURI());
        if (query == null || !query.contains("watch=1")) {
            byte[] body = catalogue.list(0, true).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
            lab.note(name + " wrote " + new String(body, StandardCharsets.UTF_8));
            return;
        }
        watches.add(exchange);
        try (OutputStream out = exchange.getResponseBody()) {
            exchange.sendResponseHeaders(200, 0);
            watch(out, Long.parseLong(query.replaceAll(".*from=(\\d+).*", "$1")));
        } catch (IOException | InterruptedException ended) {
            // the watch lasts until its connection ends
        } finally {
            watches.remove(exchange);
        }
    }

    private void watch(OutputStream out, long asked) throws IOException, InterruptedException {
        long from = asked;
        long epoch;
        boolean isFirst = true;
        synchronized (catalogue) {
            epoch = catalogue.epoch;
        }
        while (!isClosed) {
            String line = "";
            synchronized (catalogue) {
                // an agent that does not know the version asked for sends the complete list
                boolean isUnknown = isFirst && from > catalogue.version;
                if (!isUnknown && catalogue.version == from && epoch == catalogue.epoch) {
                    catalogue.wait(KEEP_ALIVE_MS);
                }
                if (epoch != catalogue.epoch) {
                    return; // the agent was started anew
                }
                if (isUnknown || catalogue.version > from) {
                    line = catalogue.list(from, isUnknown);
                    from = catalogue.version;
                }
            }
            isFirst = false;
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
            if (!line.isEmpty()) {
                lab.note(name + " wrote " + line);
            }
        }
    }

    /** Closes new connections without an answer from now on, and goes on with the open ones. */
    void takeNoMore() {
        takesNoMore = true;
    }

    /** Takes no new connection, and closes the open ones. */
    void close() {
        isClosed = true;
        server.stop(0);
        watches.forEach(HttpExchange::close);
        synchronized (catalogue) {
            catalogue.notifyAll();
        }
        lab.note(name + " is closed");
    }
}
