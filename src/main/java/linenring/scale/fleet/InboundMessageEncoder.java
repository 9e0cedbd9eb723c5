package linenring.scale.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import linenring.protocol.InboundMessage;

/** Encodes each message of a proxy or collector as one line; the counterpart of the codec's decoder. */
final class InboundMessageEncoder {
    private static final int LINE_BYTES = 160;
    private static final double TENTHS_PER_MS = 10;
    private static final JsonFactory JSON = new JsonFactory();

    private final FleetLayout layout;

    InboundMessageEncoder(FleetLayout layout) {
        this.layout = layout;
    }

    byte[] encodeLine(InboundMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(LINE_BYTES);
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            writeFields(out, message);
            out.writeEndObject();
            out.writeRaw('\n');
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // a byte array accepts every write
        }
        return bytes.toByteArray();
    }

    private void writeFields(JsonGenerator out, InboundMessage message) throws IOException {
        if (message instanceof InboundMessage.Subscribe subscribe) {
            out.writeStringField("@type", "SUBSCRIBE");
            out.writeNumberField("id", subscribe.proxy());
            out.writeStringField("site", layout.zones().get(subscribe.zone()));
            out.writeNumberField("rps", subscribe.usualRequestsPerSecond());
            out.writeBooleanField("new", subscribe.isNew());
        } else if (message instanceof InboundMessage.Collector collector) {
            out.writeStringField("@type", "SOURCE");
            out.writeStringField("site", layout.zones().get(collector.zone()));
        } else if (message instanceof InboundMessage.Acknowledgement acknowledgement) {
            out.writeStringField("@type", "ACK");
            out.writeNumberField("id", acknowledgement.proxy());
            out.writeNumberField("seq", acknowledgement.nonce());
            out.writeNumberField("ms", Math.round(acknowledgement.elapsedMs() * TENTHS_PER_MS) / TENTHS_PER_MS);
        } else if (message instanceof InboundMessage.RequestRateReport rate) {
            out.writeStringField("@type", "RATE");
            out.writeNumberField("id", rate.proxy());
            out.writeStringField("lane", layout.operations().get(rate.operation()));
            out.writeNumberField("count", rate.requests());
            out.writeNumberField("fail", 0);
            out.writeNumberField("over", rate.periodMs());
        } else if (message instanceof InboundMessage.LoadReport load) {
            out.writeStringField("@type", "LOAD");
            out.writeStringField("site", layout.zones().get(load.zone()));
            out.writeStringField("target", load.host());
            out.writeNumberField("count", load.requests());
            out.writeNumberField("fail", load.failed());
            out.writeNumberField("mean", load.meanLatencyMs());
            out.writeNumberField("over", load.periodMs());
        } else {
            out.writeStringField("@type", "PING");
        }
    }
}
