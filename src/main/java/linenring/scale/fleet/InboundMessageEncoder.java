package linenring.scale.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import linenring.protocol.InboundMessage;

/** Encodes what proxies and collectors say, one line each. */
final class InboundMessageEncoder {
    private static final JsonFactory JSON = new JsonFactory();

    private final FleetLayout layout;

    InboundMessageEncoder(FleetLayout layout) {
        this.layout = layout;
    }

    byte[] line(InboundMessage what) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(160);
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            fields(out, what);
            out.writeEndObject();
            out.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory takes what is written
        }
        return bytes.toByteArray();
    }

    private void fields(JsonGenerator out, InboundMessage what) throws IOException {
        if (what instanceof InboundMessage.Subscribe joining) {
            out.writeStringField("@type", "SUBSCRIBE");
            out.writeNumberField("id", joining.proxy());
            out.writeStringField("site", layout.zones().get(joining.zone()));
            out.writeNumberField("rps", joining.usualRequestsPerSecond());
            out.writeBooleanField("new", joining.isNew());
        } else if (what instanceof InboundMessage.Collector collector) {
            out.writeStringField("@type", "SOURCE");
            out.writeStringField("site", layout.zones().get(collector.zone()));
        } else if (what instanceof InboundMessage.Acknowledgement applied) {
            out.writeStringField("@type", "ACK");
            out.writeNumberField("id", applied.proxy());
            out.writeNumberField("seq", applied.nonce());
            out.writeNumberField("ms", Math.round(applied.elapsedMs() * 10) / 10.0);
        } else if (what instanceof InboundMessage.RequestRateReport usage) {
            out.writeStringField("@type", "RATE");
            out.writeNumberField("id", usage.proxy());
            out.writeStringField("lane", layout.operations().get(usage.operation()));
            out.writeNumberField("count", usage.requests());
            out.writeNumberField("fail", 0);
            out.writeNumberField("over", usage.periodMs());
        } else if (what instanceof InboundMessage.LoadReport sums) {
            out.writeStringField("@type", "LOAD");
            out.writeStringField("site", layout.zones().get(sums.zone()));
            out.writeStringField("target", sums.host());
            out.writeNumberField("count", sums.requests());
            out.writeNumberField("fail", sums.failed());
            out.writeNumberField("mean", sums.meanLatencyMs());
            out.writeNumberField("over", sums.periodMs());
        } else {
            out.writeStringField("@type", "PING");
        }
    }
}
