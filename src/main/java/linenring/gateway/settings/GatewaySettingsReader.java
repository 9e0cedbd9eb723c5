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
 * Reads a gateway's settings file: parses the KDL, validates it with the schema and then checks what a schema cannot
 * express. Each fault is one line with the file, the line number, the key and what was expected. Only this class maps
 * the keys of the file to {@link GatewaySettings}.
 */
public final class GatewaySettingsReader {
    /** The result of reading a file: the settings, or null and the faults that were found. */
    public record Outcome(GatewaySettings settings, List<String> faults) {}

    private static final Set<String> REPEATED_NODES = Set.of("operation", "route");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_HEADER_BYTES = 1 << 20;
    private static final int MAX_RETAINED_BYTES = 64 << 20;
    private static final int MAX_WINDOW_BYTES = 16 << 20;
    private static final int MIN_WINDOW_BYTES = 16 << 10; // smallest SETTINGS_MAX_FRAME_SIZE of HTTP/2 (RFC 9113, 4.2)

    private final Names names; // null: checks against the controller's configuration are skipped
    private final SettingsDocument document;

    private GatewaySettingsReader(Names names, SettingsDocument document) {
        this.names = names;
        this.document = document;
    }

    /** Reads a file; {@code names} are the controller's names, or null to skip the checks that depend on them. */
    public static Outcome read(Path file, Names names) {
        try {
            return read(file.toString(), Files.readString(file), names);
        } catch (IOException | RuntimeException unreadable) {
            return new Outcome(null, List.of(file + ": cannot be read"));
        }
    }

    static Outcome read(String file, String text, Names names) {
        SettingsDocument document =
                new SettingsSchema(GatewaySettingsReader.class, "front.schema.json", REPEATED_NODES).read(file, text);
        if (!document.isValid()) {
            return new Outcome(null, document.errors());
        }
        GatewaySettings settings = new GatewaySettingsReader(names, document)
                .readSettings(document.root().get("front"));
        return new Outcome(document.isValid() ? settings : null, document.errors());
    }

    private void addError(String pointer, String description) {
        document.addError(pointer, description);
    }

    private GatewaySettings readSettings(JsonNode root) {
        List<OperationPolicy> operations = readOperations(root);
        List<GatewaySettings.Route> routes = readRoutes(root, operations);
        JsonNode proxy = root.get("proxy");
        int zone = zone(proxy);
        checkProxy(proxy);
        JsonNode hosts = root.path("hosts");
        return new GatewaySettings(
                parseAddress(root.get("listen").asText()),
                proxy.get("id").asInt(),
                zone,
                proxy.path("usual").asDouble(0),
                root.path("mark-header").asText(null),
                operations,
                routes,
                readRetries(root.path("tries")),
                readOutlierEjection(root.path("avoid")),
                readPoolLimits(hosts),
                millis(hosts, "dial", GatewayDefaults.DIAL_TIMEOUT),
                clients(root.path("clients")),
                body(root.path("body")),
                millis(root, "report", GatewayDefaults.REPORT_INTERVAL),
                millis(root, "drain", GatewayDefaults.MAX_DRAIN_TIME),
                root.has("handover") ? handover(root.get("handover")) : null);
    }

    private int zone(JsonNode proxy) {
        int zone = names == null ? 0 : names.zones().indexOf(proxy.get("zone").asText());
        if (zone < 0) {
            addError(
                    "/front/proxy/zone",
                    "front.proxy.zone: zone " + proxy.get("zone")
                            + " is not configured in the controller; expected one of "
                            + String.join(", ", names.zones()));
        }
        return zone;
    }

    private void checkProxy(JsonNode proxy) {
        if (names != null && proxy.get("id").asInt() >= names.proxyCount()) {
            addError(
                    "/front/proxy/id",
                    "front.proxy.id: " + proxy.get("id")
                            + " must be below the controller's number of proxies, which is " + names.proxyCount());
        }
    }

    private InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        try {
            if (port <= MAX_PORT) {
                // The schema accepts only numeric addresses, so this call does no DNS lookup.
                return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
            }
        } catch (UnknownHostException invalidAddress) {
            // the fault of an invalid address is added below
        }
        addError("/front/listen", "front.listen: \"" + text + "\" is not a valid address and port");
        return null;
    }

    private static GatewaySettings.Retries readRetries(JsonNode tries) {
        return new GatewaySettings.Retries(
                Units.parsePercentage(tries.path("budget").asText(GatewayDefaults.RETRY_BUDGET_SHARE)),
                millis(tries, "over", GatewayDefaults.RETRY_BUDGET_WINDOW),
                tries.path("least").asInt(GatewayDefaults.MIN_RETRIES_PER_WINDOW),
                tries.path("objectives").asDouble(GatewayDefaults.ATTEMPT_TIMEOUT_OBJECTIVES));
    }

    private static GatewaySettings.OutlierEjection readOutlierEjection(JsonNode avoid) {
        return new GatewaySettings.OutlierEjection(
                avoid.path("after").asInt(GatewayDefaults.FAILURES_TO_EJECT),
                millis(avoid, "for", GatewayDefaults.EJECTION_TIME));
    }

    private static ConnectionPool.Limits readPoolLimits(JsonNode hosts) {
        return new ConnectionPool.Limits(
                hosts.path("connections").asInt(GatewayDefaults.MAX_CONNECTIONS_PER_HOST),
                hosts.path("streams").asInt(GatewayDefaults.MAX_STREAMS_PER_HOST_CONNECTION),
                hosts.path("waiting").asInt(GatewayDefaults.MAX_WAITERS_PER_HOST),
                millis(hosts, "idle", GatewayDefaults.HOST_IDLE_TIMEOUT),
                GatewayDefaults.MIN_REDIAL_MS,
                GatewayDefaults.MAX_REDIAL_MS);
    }

    private GatewaySettings.Clients clients(JsonNode clients) {
        return new GatewaySettings.Clients(
                clients.path("connections").asInt(GatewayDefaults.MAX_CLIENT_CONNECTIONS),
                clients.path("streams").asInt(GatewayDefaults.MAX_STREAMS_PER_CLIENT_CONNECTION),
                clients.path("running").asInt(GatewayDefaults.MAX_ACTIVE_REQUESTS),
                readBytes(clients, "headers", GatewayDefaults.MAX_HEADER_SIZE, MAX_HEADER_BYTES),
                millis(clients, "idle", GatewayDefaults.CLIENT_IDLE_TIMEOUT),
                millis(clients, "stall", GatewayDefaults.MAX_STALL),
                clients.path("frames-per-second").asInt(GatewayDefaults.MAX_CONTROL_FRAMES_PER_SECOND));
    }

    private GatewaySettings.Body body(JsonNode body) {
        GatewaySettings.Body settings = new GatewaySettings.Body(
                readBytes(body, "kept", GatewayDefaults.MAX_RETAINED_BODY, MAX_RETAINED_BYTES),
                Units.parseSizeBytes(body.path("kept-in-all").asText(GatewayDefaults.MAX_RETAINED_BODIES_TOTAL)),
                readBytes(body, "window", GatewayDefaults.STREAM_WINDOW, MAX_WINDOW_BYTES),
                Units.parseSizeBytes(body.path("in-all").asText(GatewayDefaults.MAX_STREAM_WINDOWS_TOTAL)));
        if (settings.streamWindowBytes() < MIN_WINDOW_BYTES) {
            addError(
                    "/front/body/window",
                    "front.body.window: \"" + body.path("window").asText()
                            + "\" is below 16KiB, the smallest frame size limit that HTTP/2 allows");
        }
        return settings;
    }

    private static GatewaySettings.Handover handover(JsonNode handover) {
        JsonNode command = handover.get("command");
        return new GatewaySettings.Handover(
                Path.of(handover.get("dir").asText()),
                command == null ? List.of() : List.of("/bin/sh", "-c", "exec " + command.asText()),
                millis(handover, "greet", GatewayDefaults.HANDOVER_GREETING_TIMEOUT),
                millis(handover, "prepare", GatewayDefaults.HANDOVER_PREPARE_TIMEOUT),
                millis(handover, "take", GatewayDefaults.HANDOVER_TAKEOVER_TIMEOUT),
                millis(handover, "probation", GatewayDefaults.HANDOVER_PROBATION_TIME));
    }

    private static double millis(JsonNode parent, String key, String defaultValue) {
        return Units.parseDurationMs(parent.path(key).asText(defaultValue));
    }

    private int readBytes(JsonNode parent, String key, String defaultValue, int maxBytes) {
        long bytes = Units.parseSizeBytes(parent.path(key).asText(defaultValue));
        if (bytes > maxBytes) {
            addError(
                    "/front",
                    "front: " + key + " of " + parent.path(key).asText() + " exceeds the maximum of " + maxBytes
                            + " bytes");
            return maxBytes;
        }
        return (int) bytes;
    }

    /** Reads the operations and sorts them in the controller's order, if the controller's names are given. */
    private List<OperationPolicy> readOperations(JsonNode root) {
        List<OperationPolicy> operations = new ArrayList<>();
        Set<String> definedNames = new HashSet<>();
        for (int i = 0; i < root.get("operation").size(); i++) {
            operations.add(readOperation(
                    root.get("operation").get(i), "/front/operation/" + i, definedNames, root.has("mark-header")));
        }
        if (names != null) {
            operations.sort(Comparator.comparingInt(policy -> names.operations().indexOf(policy.operation())));
            for (String operation : names.operations()) {
                if (!definedNames.contains(operation)) {
                    addError("/front", "front: the controller's operation \"" + operation + "\" is missing");
                }
            }
        }
        return operations;
    }

    private OperationPolicy readOperation(
            JsonNode node, String pointer, Set<String> definedNames, boolean hasKeyHeader) {
        String name = node.get("arguments").get(0).asText();
        String key = "operation \"" + name + "\"";
        if (!definedNames.add(name)) {
            addError(pointer, key + " is defined more than once");
        }
        if (names != null && !names.operations().contains(name)) {
            addError(
                    pointer,
                    key + ": not configured in the controller; expected one of "
                            + String.join(", ", names.operations()));
        }
        Idempotence idempotence = Idempotence.valueOf(
                node.get("effect").asText().toUpperCase(Locale.ROOT).replace('-', '_'));
        if (idempotence == Idempotence.FINGERPRINTED) {
            checkDeduplication(node, pointer, key, hasKeyHeader);
        }
        double objectiveMs = Units.parseDurationMs(node.get("objective").asText());
        double timeoutMs = Units.parseDurationMs(node.get("timeout").asText());
        if (!(objectiveMs > 0) || timeoutMs < objectiveMs) {
            addError(
                    pointer,
                    key + ": timeout " + node.get("timeout") + " must be at least the objective "
                            + node.get("objective") + ", which must be above 0");
            objectiveMs = 1; // a valid value, so that reading continues after the fault
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
            addError(
                    pointer,
                    key
                            + ": a fingerprinted operation requires window, the time for which hosts drop a duplicate request");
        }
        if (!hasKeyHeader) {
            addError(pointer, key + ": a fingerprinted operation requires mark-header");
        }
    }

    private List<GatewaySettings.Route> readRoutes(JsonNode root, List<OperationPolicy> operations) {
        List<String> operationNames =
                operations.stream().map(OperationPolicy::operation).toList();
        List<GatewaySettings.Route> routes = new ArrayList<>();
        for (int i = 0; i < root.get("route").size(); i++) {
            routes.add(readRoute(root.get("route").get(i), "/front/route/" + i, operationNames, routes));
        }
        return routes;
    }

    private GatewaySettings.Route readRoute(
            JsonNode node, String pointer, List<String> operationNames, List<GatewaySettings.Route> precedingRoutes) {
        String method = node.get("arguments").get(0).asText();
        String prefix = node.get("arguments").get(1).asText();
        String key = "route \"" + method + "\" \"" + prefix + "\"";
        String operationName = node.get("operation").asText();
        int operation = operationNames.lastIndexOf(operationName);
        if (operation < 0) {
            addError(pointer, key + ": operation \"" + operationName + "\" is not defined");
        }
        if (!prefix.startsWith("/") || !method.matches("[A-Z]+")) {
            addError(pointer, key + ": expected a method in upper case and a path that starts with /");
        }
        if (precedingRoutes.stream()
                .anyMatch(
                        route -> route.method().equals(method) && route.prefix().equals(prefix))) {
            addError(pointer, key + " is defined more than once");
        }
        return new GatewaySettings.Route(method, prefix, operation);
    }
}
