package linenring.scale.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import linenring.scale.fleet.ChannelLimits;

/**
 * The configuration of a measured controller, with the settings of a large fleet (docs/results.md), written as the controller's
 * JSON configuration file.
 *
 * @param scope the services whose hosts the controller's tables may hold; empty for all services
 */
public record MeasuredConfiguration(
        List<String> zones,
        List<String> kinds,
        List<String> operations,
        int proxies,
        ChannelLimits channel,
        List<String> scope) {
    /**
     * Sockets beyond those of proxies and collectors: the host watch, open files, and peers that have not subscribed yet.
     */
    private static final int OTHER_SOCKETS = 64;

    private static final int MIN_SOCKETS = 1024;
    private static final long OBJECTIVE_MICROS = 500_000;
    private static final long TIMEOUT_MICROS = 2_000_000;
    private static final long WARM_UP_MICROS = 18_000_000;
    private static final double INITIAL_CAPACITY_SHARE = 0.2;
    private static final long DRAIN_GRACE_MICROS = 16_000_000;
    private static final int MAX_MESSAGES = 30;
    private static final long MESSAGE_LIMIT_INTERVAL_MICROS = 10_000_000;
    private static final int DEFAULT_TABLE_ENTRIES = 6;
    private static final long QUANTUM_MICROS = 4000;

    /** Returns the content of the configuration file. */
    public byte[] json(String name, InetSocketAddress listenAddress, InetSocketAddress catalogueAddress) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("name", name);
            out.writeStringField("listen", hostAndPort(listenAddress));
            out.writeStringField("discovery", hostAndPort(catalogueAddress));
            if (!scope.isEmpty()) {
                writeStrings(out, "scope", scope);
            }
            out.writeObjectFieldStart("limits");
            out.writeNumberField("sockets", Math.max(MIN_SOCKETS, proxies + zones.size() + OTHER_SOCKETS));
            out.writeEndObject();
            out.writeObjectFieldStart("settings");
            writeSettings(out);
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // writes to a byte array do not fail
        }
        return bytes.toByteArray();
    }

    private void writeSettings(JsonGenerator out) throws IOException {
        writeStrings(out, "Azs", zones);
        writeStrings(out, "Kinds", kinds);
        out.writeStringField("Discovery", "pushed");
        out.writeNumberField("FleetSize", 1);
        out.writeNumberField("Quantum", QUANTUM_MICROS);
        out.writeArrayFieldStart("Classes");
        for (String operation : operations) {
            out.writeStartObject();
            out.writeStringField("Name", operation);
            out.writeNumberField("Aim", OBJECTIVE_MICROS);
            out.writeNumberField("Deadline", TIMEOUT_MICROS);
            out.writeNumberField("Points", 1.0);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeObjectFieldStart("Contract");
        out.writeNumberField("Cold", WARM_UP_MICROS);
        out.writeNumberField("ColdFrom", INITIAL_CAPACITY_SHARE);
        out.writeNumberField("StopSendingWithin", DRAIN_GRACE_MICROS);
        out.writeEndObject();
        out.writeObjectFieldStart("Specifics");
        out.writeNumberField("ProxyCount", Math.max(1, proxies));
        out.writeNumberField("PushRate", channel.entriesPerSecond());
        out.writeNumberField("PerMessage", channel.entriesPerMessage());
        out.writeNumberField("MostWaiting", channel.maxQueuedEntries());
        out.writeNumberField("UpdateCap", MAX_MESSAGES);
        out.writeNumberField("CountedOver", MESSAGE_LIMIT_INTERVAL_MICROS);
        out.writeNumberField("Propagation", Math.round(channel.propagationMs() * 1000));
        out.writeNumberField("TransitMax", Math.round(channel.maxTransitMs() * 1000));
        out.writeStringField("ThrottleBy", "fraction");
        out.writeNumberField("DefaultSize", DEFAULT_TABLE_ENTRIES);
        out.writeEndObject();
    }

    private static void writeStrings(JsonGenerator out, String field, List<String> values) throws IOException {
        out.writeArrayFieldStart(field);
        for (String value : values) {
            out.writeString(value);
        }
        out.writeEndArray();
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
