package linenring.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import linenring.settings.Lookup;

/**
 * Nested JSON as paths: names joined by dots; items of a list of objects by number, with their count beside them; items of a
 * list of plain values joined by commas.
 */
final class FlattenedJson extends Lookup {
    private final Map<String, String> values = new TreeMap<>();
    private final String faultPrefix;

    /** {@code faultPrefix} precedes the paths in messages about faults. */
    FlattenedJson(String faultPrefix) {
        this.faultPrefix = faultPrefix;
    }

    @Override
    public String find(String path) {
        return values.get(path);
    }

    boolean isEmpty() {
        return values.isEmpty();
    }

    /** Puts a value in the place of what was read. */
    void override(String path, String value) {
        values.put(path, value);
    }

    @Override
    protected RuntimeException bad(String path, String fault) {
        return new InvalidSettingException(faultPrefix + path, fault);
    }

    /** Reads the object that the parser is at the beginning of. */
    void readObject(JsonParser parser, String path) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            readValue(parser, path.isEmpty() ? name : path + "." + name);
        }
    }

    /** Reads the value that the parser is at the beginning of. */
    void readValue(JsonParser parser, String path) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readList(parser, path);
            case VALUE_NULL -> {} // as if it were not there
            default -> values.put(path, parser.getText());
        }
    }

    private void readList(JsonParser parser, String path) throws IOException {
        StringBuilder plainItems = new StringBuilder();
        boolean isFirst = true;
        int objects = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isScalarValue()) {
                plainItems.append(isFirst ? "" : ",").append(parser.getText());
                isFirst = false;
            } else {
                readValue(parser, path + "." + objects);
                objects++;
            }
        }
        if (objects > 0) {
            values.put(path + ".count", Integer.toString(objects));
        } else {
            values.put(path, plainItems.toString());
        }
    }
}
