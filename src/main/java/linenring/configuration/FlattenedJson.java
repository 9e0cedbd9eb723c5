package linenring.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import linenring.settings.Lookup;

/**
 * Nested JSON as a flat map from paths to values. A path joins the names of nested objects with dots. The objects of a
 * list get their number as a name, and the path of the list with {@code .count} has the number of objects. A list of
 * scalar values is one value, with commas between its items.
 */
final class FlattenedJson extends Lookup {
    private final Map<String, String> values = new TreeMap<>();
    private final String faultPrefix;

    /** Creates an empty map; {@code faultPrefix} precedes the paths in error messages. */
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

    /** Replaces the value that was read for the path. */
    void override(String path, String value) {
        values.put(path, value);
    }

    @Override
    protected RuntimeException invalidValue(String path, String fault) {
        return new InvalidSettingException(faultPrefix + path, fault);
    }

    /** Reads the object whose first token is the parser's current token. */
    void readObject(JsonParser parser, String path) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            readValue(parser, path.isEmpty() ? name : path + "." + name);
        }
    }

    /** Reads the value whose first token is the parser's current token. */
    void readValue(JsonParser parser, String path) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readList(parser, path);
            case VALUE_NULL -> {} // null has the same meaning as a missing key
            default -> values.put(path, parser.getText());
        }
    }

    private void readList(JsonParser parser, String path) throws IOException {
        StringBuilder scalarItems = new StringBuilder();
        boolean isFirst = true;
        int objectCount = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isScalarValue()) {
                scalarItems.append(isFirst ? "" : ",").append(parser.getText());
                isFirst = false;
            } else {
                readValue(parser, path + "." + objectCount);
                objectCount++;
            }
        }
        if (objectCount > 0) {
            values.put(path + ".count", Integer.toString(objectCount));
        } else {
            values.put(path, scalarItems.toString());
        }
    }
}
