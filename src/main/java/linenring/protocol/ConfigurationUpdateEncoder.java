package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;
import linenring.protocol.ConfigurationUpdate.Part;
import linenring.protocol.ConfigurationUpdate.TableEntry;

/** Encodes configuration updates as JSON, one object on a line of its own for each part. */
final class ConfigurationUpdateEncoder {
    private static final int INITIAL_BYTES = 256;
    /** Factor that rounds weights and ratios to four decimals on the wire. */
    private static final double ROUNDING_FACTOR = 1e4;
    /** Integral values below this limit are written without a decimal point. */
    private static final double MAX_PLAIN_INTEGER = 1e9;

    private final JsonFactory json;

    ConfigurationUpdateEncoder(JsonFactory json) {
        this.json = json;
    }

    byte[] encode(ConfigurationUpdate update) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        try (JsonGenerator out = json.createGenerator(bytes)) {
            out.setRootValueSeparator(null);
            int last = update.parts().size() - 1;
            for (int i = 0; i <= last; i++) {
                writePart(out, update.parts().get(i), i < last);
                out.writeRaw('\n');
            }
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // writing to a byte array cannot fail
        }
        return bytes.toByteArray();
    }

    /** Writes one part; the proxy applies a message only after its last part, which is not marked as continued. */
    private static void writePart(JsonGenerator out, Part part, boolean isContinued) throws IOException {
        out.writeStartObject();
        out.writeStringField("@type", "CONFIG");
        writeNames(out, "routes", part.operations());
        writeTable(out, part);
        writeAdmission(out, part.admission());
        writeNames(out, "eject", part.ejected());
        writeNames(out, "restore", part.restored());
        if (part.nonce() != ConfigurationUpdate.WITHOUT_NONCE) {
            out.writeNumberField("nonce_out", part.nonce());
        }
        if (isContinued) {
            out.writeBooleanField("continued", true);
        }
        out.writeEndObject();
    }

    private static void writeTable(JsonGenerator out, Part part) throws IOException {
        if (part.replacesTable()) {
            out.writeBooleanField("full", true);
        } else if (part.entries().isEmpty()) {
            return;
        }
        out.writeArrayFieldStart("endpoints");
        for (TableEntry entry : part.entries()) {
            out.writeStartArray();
            out.writeString(entry.host());
            writeNumber(out, entry.weight());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    private static void writeAdmission(JsonGenerator out, AdmissionPolicy admission) throws IOException {
        if (admission != null) {
            out.writeFieldName("admit");
            writeNumber(out, admission.admissionRatio());
            out.writeNumberField("policy", admission.retryPolicyCode());
        }
    }

    private static void writeNames(JsonGenerator out, String field, List<String> names) throws IOException {
        if (!names.isEmpty()) {
            out.writeFieldName(field);
            out.writeArray(names.toArray(String[]::new), 0, names.size());
        }
    }

    private static void writeNumber(JsonGenerator out, double value) throws IOException {
        if (value == Math.rint(value) && value < MAX_PLAIN_INTEGER) {
            out.writeNumber((long) value);
        } else {
            out.writeNumber(Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR);
        }
    }
}
