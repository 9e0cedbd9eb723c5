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
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import linenring.kdl.SettingsDocument;
import linenring.kdl.SettingsSchema;
import linenring.kdl.Units;
import linenring.routing.ConnectionPool;
import linenring.routing.Idempotence;
import linenring.routing.OperationPolicy;
import linenring.settings.Names;

/**
 * Reads a gateway's settings: KDL, then the schema, then what a schema can't say. Each fault is one line that names the
 * file, the line, the key and what was expected. The keys of the file are mapped to {@link GatewaySettings} here alone.
 */
public final class GatewaySettingsReader {
    /** Settings, or null and the faults. */
    public record Outcome(GatewaySettings settings, List<String> faults) {}

    private static final Set<String> LISTS = Set.of("operation", "route");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_HEADER_BYTES = 1 << 20;
    private static final int MAX_RETAINED_BYTES = 64 << 20;
    private static final int MAX_WINDOW_BYTES = 16 << 20;
    private static final int MIN_WINDOW_BYTES = 16 << 10; // HTTP/2's least frame size (RFC 9113, 4.2)

    private final Names names; // null: what depends on the controller's configuration is not checked
    private final SettingsDocument document;

    private GatewaySettingsReader(Names names, SettingsDocument document) {
        this.names = names;
        this.document = document;
    }

    /** {@code names}: the controller's, or null, and what depends on them is not checked. */
    public static Outcome read(Path file, Names names) {
        try {
            return read(file.toString(), Files.readString(file), names);
        } catch (IOException | RuntimeException unreadable) {
            return new Outcome(null, List.of(file + ": cannot be read"));
        }
    }

    static Outcome read(String file, String text, Names names) {
        SettingsDocument document =
                new SettingsSchema(GatewaySettingsReader.class, "front.schema.json", LISTS).read(file, text);
        if (!document.isSound()) {
            return new Outcome(null, document.faults());
        }
        GatewaySettings settings = new GatewaySettingsReader(names, document)
                .settings(document.root().get("front"));
        return new Outcome(document.isSound() ? settings : null, document.faults());
    }

    private void fault(String pointer, String description) {
        document.fault(pointer, description);
    }

    private GatewaySettings settings(JsonNode root) {
        List<OperationPolicy> operations = operations(root);
        List<GatewaySettings.Route> routes = routes(root, operations);
        JsonNode proxy = root.get("proxy");
        int zone = zone(proxy);
        checkProxy(proxy);
        JsonNode hosts = root.path("hosts");
        return new GatewaySettings(
                address(root.get("listen").asText()),
                proxy.get("id").asInt(),
                zone,
                proxy.path("usual").asDouble(0),
                root.path("mark-header").asText(null),
                operations,
                routes,
                retries(root.path("tries")),
                outlierEjection(root.path("avoid")),
                pool(hosts),
                millis(hosts, "dial", GatewayDefaults.DIAL_TIMEOUT),
                clients(root.path("clients")),
                body(root.path("body")),
                millis(root, "report", GatewayDefaults.REPORT),
                millis(root, "drain", GatewayDefaults.DRAIN),
                root.has("handover") ? handover(root.get("handover")) : null);
    }

    private int zone(JsonNode proxy) {
        int zone = names == null ? 0 : names.zones().indexOf(proxy.get("zone").asText());
        if (zone < 0) {
            fault(
                    "/front/proxy/zone",
                    "front.proxy.zone: the controller knows no zone " + proxy.get("zone") + "; it knows "
                            + String.join(", ", names.zones()));
        }
        return zone;
    }

    private void checkProxy(JsonNode proxy) {
        if (names != null && proxy.get("id").asInt() >= names.proxyCount()) {
            fault(
                    "/front/proxy/id",
                    "front.proxy.id: " + proxy.get("id") + " is not under the controller's " + names.proxyCount()
                            + " proxies");
        }
    }

    private InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        try {
            if (port <= MAX_PORT) {
                // The schema accepts numeric addresses alone, so that no name is looked up.
                return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
            }
        } catch (UnknownHostException noAddress) {
            // the fault below says so
        }
        fault("/front/listen", "front.listen: \"" + text + "\" is no address and port");
        return null;
    }

    private static GatewaySettings.Retries retries(JsonNode tries) {
        return new GatewaySettings.Retries(
                Units.share(tries.path("budget").asText(GatewayDefaults.RETRY_BUDGET)),
                millis(tries, "over", GatewayDefaults.RETRY_BUDGET_WINDOW),
                tries.path("least").asInt(GatewayDefaults.MIN_RETRIES),
                tries.path("objectives").asDouble(GatewayDefaults.ATTEMPT_OBJECTIVES));
    }

    private static GatewaySettings.OutlierEjection outlierEjection(JsonNode avoid) {
        return new GatewaySettings.OutlierEjection(
                avoid.path("after").asInt(GatewayDefaults.CONSECUTIVE_FAILURES),
                millis(avoid, "for", GatewayDefaults.EJECTION));
    }

    private static ConnectionPool.Limits pool(JsonNode hosts) {
        return new ConnectionPool.Limits(
                hosts.path("connections").asInt(GatewayDefaults.HOST_CONNECTIONS),
                hosts.path("streams").asInt(GatewayDefaults.HOST_STREAMS),
                hosts.path("waiting").asInt(GatewayDefaults.HOST_WAITERS),
                millis(hosts, "idle", GatewayDefaults.HOST_IDLE),
                GatewayDefaults.MIN_REDIAL_MS,
                GatewayDefaults.MAX_REDIAL_MS);
    }

    private GatewaySettings.Clients clients(JsonNode clients) {
        return new GatewaySettings.Clients(
                clients.path("connections").asInt(GatewayDefaults.CLIENT_CONNECTIONS),
                clients.path("streams").asInt(GatewayDefaults.CLIENT_STREAMS),
                clients.path("running").asInt(GatewayDefaults.ACTIVE_REQUESTS),
                bytes(clients, "headers", GatewayDefaults.HEADERS, MAX_HEADER_BYTES),
                millis(clients, "idle", GatewayDefaults.CLIENT_IDLE),
                millis(clients, "stall", GatewayDefaults.STALL),
                clients.path("frames-per-second").asInt(GatewayDefaults.FRAMES_PER_SECOND));
    }

    private GatewaySettings.Body body(JsonNode body) {
        GatewaySettings.Body settings = new GatewaySettings.Body(
                bytes(body, "kept", GatewayDefaults.RETAINED, MAX_RETAINED_BYTES),
                Units.bytes(body.path("kept-in-all").asText(GatewayDefaults.RETAINED_IN_ALL)),
                bytes(body, "window", GatewayDefaults.WINDOW, MAX_WINDOW_BYTES),
                Units.bytes(body.path("in-all").asText(GatewayDefaults.WINDOWS_IN_ALL)));
        if (settings.streamWindowBytes() < MIN_WINDOW_BYTES) {
            fault(
                    "/front/body/window",
                    "front.body.window: \"" + body.path("window").asText()
                            + "\" is under 16KiB, the least frame of HTTP/2");
        }
        return settings;
    }

    private static GatewaySettings.Handover handover(JsonNode handover) {
        JsonNode command = handover.get("command");
        return new GatewaySettings.Handover(
                Path.of(handover.get("dir").asText()),
                command == null ? List.of() : List.of("/bin/sh", "-c", "exec " + command.asText()),
                millis(handover, "greet", GatewayDefaults.GREET),
                millis(handover, "prepare", GatewayDefaults.PREPARE),
                millis(handover, "take", GatewayDefaults.TAKE),
                millis(handover, "probation", GatewayDefaults.PROBATION));
    }

    private static double millis(JsonNode parent, String key, String byDefault) {
        return Units.millis(parent.path(key).asText(byDefault));
    }

    private int bytes(JsonNode parent, String key, String byDefault, int maxBytes) {
        long bytes = Units.bytes(parent.path(key).asText(byDefault));
        if (bytes > maxBytes) {
            fault("/front", "front: " + key + " of " + parent.path(key).asText() + " is over " + maxBytes + " bytes");
            return maxBytes;
        }
        return (int) bytes;
    }

    /** In the controller's order, where it is known. */
    private List<OperationPolicy> operations(JsonNode root) {
        List<OperationPolicy> operations = new ArrayList<>();
        Set<String> given = new HashSet<>();
        for (int i = 0; i < root.get("operation").size(); i++) {
            operations.add(
                    operation(root.get("operation").get(i), "/front/operation/" + i, given, root.has("mark-header")));
        }
        if (names != null) {
            operations.sort(Comparator.comparingInt(policy -> names.operations().indexOf(policy.operation())));
            for (String operation : names.operations()) {
                if (!given.contains(operation)) {
                    fault("/front", "front: operation \"" + operation + "\" of the controller is missing");
                }
            }
        }
        return operations;
    }

    private OperationPolicy operation(JsonNode node, String pointer, Set<String> given, boolean hasKeyHeader) {
        String name = node.get("arguments").get(0).asText();
        String key = "operation \"" + name + "\"";
        if (!given.add(name)) {
            fault(pointer, key + " is given a second time");
        }
        if (names != null && !names.operations().contains(name)) {
            fault(
                    pointer,
                    key + ": the controller knows no such operation; it knows "
                            + String.join(", ", names.operations()));
        }
        Idempotence idempotence = Idempotence.valueOf(
                node.get("effect").asText().toUpperCase(Locale.ROOT).replace('-', '_'));
        if (idempotence == Idempotence.FINGERPRINTED) {
            checkDeduplication(node, pointer, key, hasKeyHeader);
        }
        double objectiveMs = Units.millis(node.get("objective").asText());
        double timeoutMs = Units.millis(node.get("timeout").asText());
        if (!(objectiveMs > 0) || timeoutMs < objectiveMs) {
            fault(
                    pointer,
                    key + ": its timeout " + node.get("timeout") + " is under its objective " + node.get("objective"));
            objectiveMs = 1; // so that reading can go on; the fault is there
            timeoutMs = 1;
        }
        return new OperationPolicy(
                name,
                idempotence,
                OperationPolicy.DeduplicationScope.valueOf(
                        node.path("group").asText("zone").toUpperCase(Locale.ROOT)),
                millis(node, "window", "0s"),
                objectiveMs,
                timeoutMs);
    }

    private void checkDeduplication(JsonNode node, String pointer, String key, boolean hasKeyHeader) {
        if (!node.has("window")) {
            fault(pointer, key + ": a fingerprinted operation needs the window in which hosts drop a repeat");
        }
        if (!hasKeyHeader) {
            fault(pointer, key + ": a fingerprinted operation needs mark-header");
        }
    }

    private List<GatewaySettings.Route> routes(JsonNode root, List<OperationPolicy> operations) {
        List<String> operationNames =
                operations.stream().map(OperationPolicy::operation).toList();
        List<GatewaySettings.Route> routes = new ArrayList<>();
        for (int i = 0; i < root.get("route").size(); i++) {
            routes.add(route(root.get("route").get(i), "/front/route/" + i, operationNames, routes));
        }
        return routes;
    }

    private GatewaySettings.Route route(
            JsonNode node, String pointer, List<String> operationNames, List<GatewaySettings.Route> earlier) {
        String method = node.get("arguments").get(0).asText();
        String prefix = node.get("arguments").get(1).asText();
        String key = "route \"" + method + "\" \"" + prefix + "\"";
        String operationName = node.get("operation").asText();
        int operation = operationNames.lastIndexOf(operationName);
        if (operation < 0) {
            fault(pointer, key + ": there is no operation \"" + operationName + "\"");
        }
        if (!prefix.startsWith("/") || !method.matches("[A-Z]+")) {
            fault(pointer, key + ": a method in capitals and a path that begins with / are expected");
        }
        if (earlier.stream()
                .anyMatch(
                        route -> route.method().equals(method) && route.prefix().equals(prefix))) {
            fault(pointer, key + " is given a second time");
        }
        return new GatewaySettings.Route(method, prefix, operation);
    }
}
