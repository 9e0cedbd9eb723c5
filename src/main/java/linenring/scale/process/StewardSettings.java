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
 * The configuration that a measured steward is given, with the figures of a large fleet (docs/results.md).
 *
 * @param scope the services that its tables may hold; empty for all
 */
public record StewardSettings(
        List<String> zones,
        List<String> kinds,
        List<String> operations,
        int proxies,
        ChannelLimits channel,
        List<String> scope) {
    private static final int OTHER_SOCKETS = 64; // beside proxies and collectors: the watch, files, strangers
    private static final int SOCKETS_LEAST = 1024;
    private static final long OBJECTIVE_US = 500_000, DEADLINE_US = 2_000_000;
    private static final long WARM_AFTER_US = 18_000_000;
    private static final double COLD_SHARE = 0.2;
    private static final long DRAIN_GRACE_US = 16_000_000;
    private static final int MESSAGES_MOST = 30;
    private static final long MESSAGES_OVER_US = 10_000_000;
    private static final int STANDING_TABLE = 6;
    private static final long QUANTUM_US = 4000;

    /** As JSON. */
    public byte[] json(String name, InetSocketAddress listen, InetSocketAddress catalogue) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("name", name);
            out.writeStringField("listen", text(listen));
            out.writeStringField("discovery", text(catalogue));
            if (!scope.isEmpty()) {
                texts(out, "scope", scope);
            }
            out.writeObjectFieldStart("limits");
            out.writeNumberField("sockets", Math.max(SOCKETS_LEAST, proxies + zones.size() + OTHER_SOCKETS));
            out.writeEndObject();
            out.writeObjectFieldStart("settings");
            settings(out);
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory takes what is written
        }
        return bytes.toByteArray();
    }

    private void settings(JsonGenerator out) throws IOException {
        texts(out, "Azs", zones);
        texts(out, "Kinds", kinds);
        out.writeStringField("Discovery", "pushed");
        out.writeNumberField("FleetSize", 1);
        out.writeNumberField("Quantum", QUANTUM_US);
        out.writeArrayFieldStart("Classes");
        for (String operation : operations) {
            out.writeStartObject();
            out.writeStringField("Name", operation);
            out.writeNumberField("Aim", OBJECTIVE_US);
            out.writeNumberField("Deadline", DEADLINE_US);
            out.writeNumberField("Points", 1.0);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeObjectFieldStart("Contract");
        out.writeNumberField("Cold", WARM_AFTER_US);
        out.writeNumberField("ColdFrom", COLD_SHARE);
        out.writeNumberField("StopSendingWithin", DRAIN_GRACE_US);
        out.writeEndObject();
        out.writeObjectFieldStart("Specifics");
        out.writeNumberField("ProxyCount", Math.max(1, proxies));
        out.writeNumberField("PushRate", channel.linesPerSecond());
        out.writeNumberField("PerMessage", channel.linesPerMessage());
        out.writeNumberField("MostWaiting", channel.linesWaitingMost());
        out.writeNumberField("UpdateCap", MESSAGES_MOST);
        out.writeNumberField("CountedOver", MESSAGES_OVER_US);
        out.writeNumberField("Propagation", Math.round(channel.propagationMs() * 1000));
        out.writeNumberField("TransitMax", Math.round(channel.transitMostMs() * 1000));
        out.writeStringField("ThrottleBy", "fraction");
        out.writeNumberField("DefaultSize", STANDING_TABLE);
        out.writeEndObject();
    }

    private static void texts(JsonGenerator out, String field, List<String> texts) throws IOException {
        out.writeArrayFieldStart(field);
        for (String text : texts) {
            out.writeString(text);
        }
        out.writeEndArray();
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }
}
