package linenring.scale.catalogue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Encodes deltas and complete lists in the discovery agent's JSON format. */
final class CatalogueJson {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int BYTES_PER_HOST = 160;

    private CatalogueJson() {}

    /** Encodes a change as one line of JSON; the first {@code invalidEntries} entries get an unknown state. */
    static byte[] line(CatalogueChange change, int invalidEntries) {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(64 + BYTES_PER_HOST * change.hosts().size());
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("version", change.version());
            out.writeBooleanField("full", change.isComplete());
            out.writeArrayFieldStart("servers");
            for (int i = 0; i < change.hosts().size(); i++) {
                entry(out, change.hosts().get(i), i < invalidEntries);
            }
            out.writeEndArray();
            out.writeEndObject();
            out.writeRaw('\n');
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // a byte array accepts every write
        }
        return bytes.toByteArray();
    }

    /** Encodes the data as one chunk of a chunked response (RFC 9112, 7.1). */
    static byte[] chunk(byte[] data) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(data.length + 16);
        bytes.writeBytes((Integer.toHexString(data.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        bytes.writeBytes(data);
        bytes.writeBytes(new byte[] {'\r', '\n'});
        return bytes.toByteArray();
    }

    private static void entry(JsonGenerator out, CatalogueHost host, boolean isInvalid) throws IOException {
        out.writeStartObject();
        out.writeStringField("id", host.id());
        out.writeStringField("addr", host.address());
        out.writeStringField("zone", CatalogueLayout.zoneName(host.zone()));
        out.writeStringField("kind", CatalogueLayout.kindName(host.kind()));
        out.writeNumberField("cell", host.rack());
        out.writeStringField("service", CatalogueLayout.serviceName(host.service()));
        out.writeStringField("state", isInvalid ? "?" : state(host));
        out.writeNumberField("weight", 1.0);
        out.writeNumberField("started_ms", host.startedMs());
        out.writeEndObject();
    }

    private static String state(CatalogueHost host) {
        return switch (host.state()) {
            case READY -> "Ready";
            case TERMINATING -> "Terminating";
            case GONE -> "Gone";
        };
    }
}
