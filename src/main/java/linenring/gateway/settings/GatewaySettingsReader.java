package linenring.gateway.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linenring.kdl.SettingsDocument;
import linenring.kdl.SettingsSchema;
import linenring.kdl.Units;
import linenring.routing.ConnectionPool;
import linenring.routing.Idempotence;
import linenring.routing.OperationPolicy;
import linenring.settings.Names;

/**
 * Reads a front's settings: KDL, then the schema, then what a schema can't say. Each fault is one line that names the
 * file, the line, the key and what was expected.
 */
public final class GatewaySettingsReader {
    /** A plan, or the faults; without {@code names} what depends on the steward's configuration is not checked. */
    public record Outcome(GatewaySettings plan, List<String> faults) {}

    private static final Set<String> LISTS = Set.of("operation", "route");
    // Beside each default, how it was chosen:
    private static final String BUDGET = "20%"; // a host lost in five is retried whole
    private static final String BUDGET_OVER = "10s"; // longer than any integration timeout
    private static final int BUDGET_LEAST = 10; // one a second where next to nothing comes
    private static final double OBJECTIVES = 1.2; // the deployments' own figure
    private static final int AVOID_AFTER = 8; // the deployments' sidecars: 5 to 8
    private static final String AVOID_FOR = "4s"; // theirs: 2.2 to 7.2 s
    private static final int CONNECTIONS = 4; // 4 x 32 streams are more than a host of 4 cores runs
    private static final int HOST_STREAMS = 32; // the sidecars' own
    private static final int WAITING = 256; // as many again may wait for a dial, of 1 ms on this network
    private static final String IDLE = "15s"; // the deployments' keep-alive
    private static final String DIAL = "250ms"; // their connect time-out
    private static final double REDIAL_LEAST_MS = 100, REDIAL_MOST_MS = 5000; // a host's restart takes seconds
    private static final int CLIENTS = 1024, STREAMS = 128, RUNNING = 10_000;
    private static final String HEADERS = "16KiB"; // ten times what the supplier's software sends
    private static final String CLIENT_IDLE = "60s", STALL = "10s"; // longer than any integration timeout
    private static final int FRAMES = 200; // pings, settings, resets and empty frames of one connection
    private static final String KEPT = "16KiB", KEPT_IN_ALL = "16MiB", WINDOW = "64KiB";
    private static final String IN_ALL = "512MiB"; // 4,000 uploads at a time, or 8,000 invocations without a body
    private static final String REPORT = "500ms"; // the collectors' own
    private static final String DRAIN = "30s";
    private static final String GREET = "20s", PREPARE = "30s"; // a start takes 2 s here; a busy machine ten times that
    private static final String TAKE = "5s"; // nobody accepts meanwhile; dials wait in the kernel
    private static final String PROBATION = "10s"; // faults of a new release that end it at once show within seconds

    private final Names names;
    private final SettingsDocument document;

    private GatewaySettingsReader(Names names, SettingsDocument document) {
        this.names = names;
        this.document = document;
    }

    public static Outcome read(Path file, Names names) {
        try {
            return read(file.toString(), Files.readString(file), names);
        } catch (IOException | RuntimeException e) {
            return new Outcome(null, List.of(file + ": cannot be read"));
        }
    }

    static Outcome read(String file, String text, Names names) {
        SettingsDocument document =
                new SettingsSchema(GatewaySettingsReader.class, "front.schema.json", LISTS).read(file, text);
        if (!document.isSound()) {
            return new Outcome(null, document.faults());
        }
        GatewaySettings plan =
                new GatewaySettingsReader(names, document).plan(document.root().get("front"));
        return new Outcome(document.isSound() ? plan : null, document.faults());
    }

    private void fault(String pointer, String what) {
        document.fault(pointer, what);
    }

    // ---- what a schema can't say

    private GatewaySettings plan(JsonNode in) {
        List<OperationPolicy> terms = new ArrayList<>();
        Map<String, Integer> numbers = new HashMap<>();
        for (int k = 0; k < in.get("operation").size(); k++) {
            terms.add(terms(in.get("operation").get(k), "/front/operation/" + k, numbers, in.has("mark-header")));
        }
        List<OperationPolicy> ordered = new ArrayList<>(terms);
        if (names != null) {
            ordered.sort(Comparator.comparingInt(t -> names.operations().indexOf(t.operation())));
            for (String operation : names.operations()) {
                if (!numbers.containsKey(operation)) {
                    fault("/front", "front: operation \"" + operation + "\" of the steward is missing");
                }
            }
        }
        List<GatewaySettings.Route> routes = new ArrayList<>();
        for (int k = 0; k < in.get("route").size(); k++) {
            routes.add(route(in.get("route").get(k), "/front/route/" + k, ordered, routes));
        }
        JsonNode proxy = in.get("proxy"), tries = in.path("tries"), avoid = in.path("avoid");
        JsonNode hosts = in.path("hosts"), clients = in.path("clients"), body = in.path("body");
        int zone = names == null ? 0 : names.zones().indexOf(proxy.get("zone").asText());
        if (zone < 0) {
            fault(
                    "/front/proxy/zone",
                    "front.proxy.zone: the steward knows no zone " + proxy.get("zone") + "; it knows "
                            + String.join(", ", names.zones()));
        }
        if (names != null && proxy.get("id").asInt() >= names.proxies()) {
            fault(
                    "/front/proxy/id",
                    "front.proxy.id: " + proxy.get("id") + " is not under the steward's " + names.proxies()
                            + " proxies");
        }
        GatewaySettings plan = new GatewaySettings(
                address(in.get("listen").asText()),
                proxy.get("id").asInt(),
                zone,
                proxy.path("usual").asDouble(0),
                in.path("mark-header").asText(null),
                ordered,
                routes,
                new GatewaySettings.Further(
                        Units.share(tries.path("budget").asText(BUDGET)),
                        Units.millis(tries.path("over").asText(BUDGET_OVER)),
                        tries.path("least").asInt(BUDGET_LEAST),
                        tries.path("objectives").asDouble(OBJECTIVES)),
                new GatewaySettings.Avoid(
                        avoid.path("after").asInt(AVOID_AFTER),
                        Units.millis(avoid.path("for").asText(AVOID_FOR))),
                new ConnectionPool.Limits(
                        hosts.path("connections").asInt(CONNECTIONS),
                        hosts.path("streams").asInt(HOST_STREAMS),
                        hosts.path("waiting").asInt(WAITING),
                        Units.millis(hosts.path("idle").asText(IDLE)),
                        REDIAL_LEAST_MS,
                        REDIAL_MOST_MS),
                Units.millis(hosts.path("dial").asText(DIAL)),
                new GatewaySettings.Clients(
                        clients.path("connections").asInt(CLIENTS),
                        clients.path("streams").asInt(STREAMS),
                        clients.path("running").asInt(RUNNING),
                        size(clients, "headers", HEADERS, 1 << 20),
                        Units.millis(clients.path("idle").asText(CLIENT_IDLE)),
                        Units.millis(clients.path("stall").asText(STALL)),
                        clients.path("frames-per-second").asInt(FRAMES)),
                new GatewaySettings.Body(
                        size(body, "kept", KEPT, 64 << 20),
                        Units.bytes(body.path("kept-in-all").asText(KEPT_IN_ALL)),
                        size(body, "window", WINDOW, 16 << 20),
                        Units.bytes(body.path("in-all").asText(IN_ALL))),
                Units.millis(in.path("report").asText(REPORT)),
                Units.millis(in.path("drain").asText(DRAIN)),
                in.has("handover") ? handover(in.get("handover")) : null);
        if (plan.body().window() < 16 << 10) {
            fault(
                    "/front/body/window",
                    "front.body.window: \"" + body.path("window").asText()
                            + "\" is under 16KiB, the least frame of HTTP/2");
        }
        return plan;
    }

    private static GatewaySettings.Handover handover(JsonNode in) {
        return new GatewaySettings.Handover(
                Path.of(in.get("dir").asText()),
                in.has("command")
                        ? List.of("/bin/sh", "-c", "exec " + in.get("command").asText())
                        : List.of(),
                Units.millis(in.path("greet").asText(GREET)),
                Units.millis(in.path("prepare").asText(PREPARE)),
                Units.millis(in.path("take").asText(TAKE)),
                Units.millis(in.path("probation").asText(PROBATION)));
    }

    private int size(JsonNode in, String name, String absent, int most) {
        long bytes = Units.bytes(in.path(name).asText(absent));
        if (bytes > most) {
            fault("/front", "front: " + name + " of " + in.path(name).asText() + " is over " + most + " bytes");
            return most;
        }
        return (int) bytes;
    }

    private OperationPolicy terms(JsonNode in, String at, Map<String, Integer> numbers, boolean markHeader) {
        String name = in.get("arguments").get(0).asText();
        String key = "operation \"" + name + "\"";
        if (numbers.putIfAbsent(name, numbers.size()) != null) {
            fault(at, key + " is told a second time");
        }
        if (names != null && !names.operations().contains(name)) {
            fault(at, key + ": the steward knows no such operation; it knows " + String.join(", ", names.operations()));
        }
        Idempotence effect = Idempotence.valueOf(
                in.get("effect").asText().toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
        if (effect == Idempotence.FINGERPRINTED && !in.has("window")) {
            fault(at, key + ": a fingerprinted operation needs the window in which hosts drop a repeat");
        }
        if (effect == Idempotence.FINGERPRINTED && !markHeader) {
            fault(at, key + ": a fingerprinted operation needs mark-header");
        }
        double objective = Units.millis(in.get("objective").asText()),
                timeout = Units.millis(in.get("timeout").asText());
        if (!(objective > 0) || timeout < objective) {
            fault(at, key + ": its timeout " + in.get("timeout") + " is under its objective " + in.get("objective"));
            timeout = objective = 1;
        }
        return new OperationPolicy(
                name,
                effect,
                OperationPolicy.DeduplicationScope.valueOf(
                        in.path("group").asText("zone").toUpperCase(java.util.Locale.ROOT)),
                Units.millis(in.path("window").asText("0s")),
                objective,
                timeout);
    }

    private GatewaySettings.Route route(
            JsonNode in, String at, List<OperationPolicy> operations, List<GatewaySettings.Route> before) {
        String method = in.get("arguments").get(0).asText(),
                prefix = in.get("arguments").get(1).asText();
        String key = "route \"" + method + "\" \"" + prefix + "\"";
        String operation = in.get("operation").asText();
        int number = -1;
        for (int k = 0; k < operations.size(); k++) {
            number = operations.get(k).operation().equals(operation) ? k : number;
        }
        if (number < 0) {
            fault(at, key + ": there is no operation \"" + operation + "\"");
        }
        if (!prefix.startsWith("/") || !method.matches("[A-Z]+")) {
            fault(at, key + ": a method in capitals and a path that begins with / are expected");
        }
        if (before.stream()
                .anyMatch(r -> r.method().equals(method) && r.prefix().equals(prefix))) {
            fault(at, key + " is told a second time");
        }
        return new GatewaySettings.Route(method, prefix, number);
    }

    private InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':'), port = Integer.parseInt(text.substring(colon + 1));
        try {
            if (port <= 65535) {
                return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port); // figures alone
            }
        } catch (UnknownHostException e) {
            // told below
        }
        fault("/front/listen", "front.listen: \"" + text + "\" is no address and port");
        return null;
    }
}
