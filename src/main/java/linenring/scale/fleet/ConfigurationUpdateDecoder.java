package linenring.scale.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import linenring.protocol.ConfigurationUpdate;

/** Decodes the configuration updates of one stream, like a proxy; the counterpart of the codec's encoder. */
final class ConfigurationUpdateDecoder {
    private static final JsonFactory JSON = new JsonFactory();

    /** Parts of the current update; its last line was not received yet. */
    private final List<ConfigurationUpdate.Part> parts = new ArrayList<>();

    /** The fields of one line, collected while the line is parsed. */
    private static final class LineFields {
        private String type;
        private List<String> operations = List.of();
        private List<ConfigurationUpdate.TableEntry> entries = new ArrayList<>();
        private List<String> ejected = List.of();
        private List<String> restored = List.of();
        private boolean replacesTable;
        private boolean isContinued;
        private double admissionRatio = Double.NaN;
        private int retryPolicyCode;
        private int nonce = ConfigurationUpdate.WITHOUT_NONCE;

        ConfigurationUpdate.Part part() {
            ConfigurationUpdate.AdmissionPolicy admission = Double.isNaN(admissionRatio)
                    ? null
                    : new ConfigurationUpdate.AdmissionPolicy(admissionRatio, retryPolicyCode);
            return new ConfigurationUpdate.Part(
                    operations, replacesTable, entries, admission, ejected, restored, nonce);
        }
    }

    /** Decodes a line; returns the update that the line completes, or null if it is not the last of an update or not an update. */
    ConfigurationUpdate decodeLine(byte[] bytes, int start, int length) throws IOException {
        LineFields fields = decodeFields(bytes, start, length);
        if (!"CONFIG".equals(fields.type)) {
            return null; // the line is a PONG
        }
        parts.add(fields.part());
        if (fields.isContinued) {
            return null;
        }
        ConfigurationUpdate update = new ConfigurationUpdate(List.copyOf(parts));
        parts.clear();
        return update;
    }

    private static LineFields decodeFields(byte[] bytes, int start, int length) throws IOException {
        LineFields fields = new LineFields();
        try (JsonParser parser = JSON.createParser(bytes, start, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                readField(fields, name, parser);
            }
        }
        return fields;
    }

    private static void readField(LineFields fields, String name, JsonParser parser) throws IOException {
        switch (name) {
            case "@type" -> fields.type = parser.getText();
            case "routes" -> fields.operations = readStrings(parser);
            case "full" -> fields.replacesTable = parser.getBooleanValue();
            case "endpoints" -> fields.entries = readEntries(parser);
            case "admit" -> fields.admissionRatio = parser.getDoubleValue();
            case "policy" -> fields.retryPolicyCode = parser.getIntValue();
            case "eject" -> fields.ejected = readStrings(parser);
            case "restore" -> fields.restored = readStrings(parser);
            case "nonce_out" -> fields.nonce = parser.getIntValue();
            case "continued" -> fields.isContinued = parser.getBooleanValue();
            default -> parser.skipChildren();
        }
    }

    private static List<String> readStrings(JsonParser parser) throws IOException {
        List<String> texts = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            texts.add(parser.getText());
        }
        return texts;
    }

    private static List<ConfigurationUpdate.TableEntry> readEntries(JsonParser parser) throws IOException {
        List<ConfigurationUpdate.TableEntry> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            parser.nextToken();
            String host = parser.getText();
            parser.nextToken();
            entries.add(new ConfigurationUpdate.TableEntry(host, parser.getDoubleValue()));
            parser.nextToken(); // skip the end of the entry
        }
        return entries;
    }
}
