package linenring.scale.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import linenring.protocol.ConfigurationUpdate;

/** Reads the lines of orders as a proxy does, and puts continued ones together. One for each stream. */
final class ConfigurationUpdateDecoder {
    private static final JsonFactory JSON = new JsonFactory();

    private final List<ConfigurationUpdate.Part> parts = new ArrayList<>();

    /** The fields of one line. */
    private static final class Fields {
        String type;
        List<String> operations = List.of();
        List<ConfigurationUpdate.TableEntry> lines = new ArrayList<>();
        List<String> ejected = List.of(), restored = List.of();
        boolean whole, continued;
        double admissionRatio = Double.NaN;
        int tries;
        int mark = ConfigurationUpdate.NO_NONCE;
    }

    /** The order that this line completes, or null where more of it comes. */
    ConfigurationUpdate line(byte[] bytes, int from, int length) throws IOException {
        Fields fields = new Fields();
        try (JsonParser in = JSON.createParser(bytes, from, length)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                field(fields, name, in);
            }
        }
        if (!"CONFIG".equals(fields.type)) {
            return null; // a PONG
        }
        ConfigurationUpdate.AdmissionPolicy level = Double.isNaN(fields.admissionRatio)
                ? null
                : new ConfigurationUpdate.AdmissionPolicy(fields.admissionRatio, fields.tries);
        parts.add(new ConfigurationUpdate.Part(
                fields.operations, fields.whole, fields.lines, level, fields.ejected, fields.restored, fields.mark));
        if (fields.continued) {
            return null;
        }
        ConfigurationUpdate order = new ConfigurationUpdate(List.copyOf(parts));
        parts.clear();
        return order;
    }

    private static void field(Fields fields, String name, JsonParser in) throws IOException {
        switch (name) {
            case "@type" -> fields.type = in.getText();
            case "routes" -> fields.operations = words(in);
            case "full" -> fields.whole = in.getBooleanValue();
            case "endpoints" -> fields.lines = lines(in);
            case "admit" -> fields.admissionRatio = in.getDoubleValue();
            case "policy" -> fields.tries = in.getIntValue();
            case "eject" -> fields.ejected = words(in);
            case "restore" -> fields.restored = words(in);
            case "nonce_out" -> fields.mark = in.getIntValue();
            case "continued" -> fields.continued = in.getBooleanValue();
            default -> in.skipChildren();
        }
    }

    private static List<String> words(JsonParser in) throws IOException {
        List<String> words = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            words.add(in.getText());
        }
        return words;
    }

    private static List<ConfigurationUpdate.TableEntry> lines(JsonParser in) throws IOException {
        List<ConfigurationUpdate.TableEntry> lines = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            in.nextToken();
            String host = in.getText();
            in.nextToken();
            lines.add(new ConfigurationUpdate.TableEntry(host, in.getDoubleValue()));
            in.nextToken(); // its end
        }
        return lines;
    }
}
