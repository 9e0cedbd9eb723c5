package linenring.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import linenring.settings.Lookup;

/** Nested JSON as paths: names joined by dots, lists of objects numbered and counted, plain ones by commas. */
final class FlatJson extends Lookup {
    final Map<String, String> values = new TreeMap<>();
    private final String within;

    FlatJson(String within) {
        this.within = within;
    }

    @Override
    public String find(String path) {
        return values.get(path);
    }

    @Override
    protected RuntimeException bad(String path, String what) {
        return new InvalidSettingException(within + path, what);
    }

    void object(JsonParser in, String path) throws IOException {
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            value(in, path.isEmpty() ? name : path + "." + name);
        }
    }

    void value(JsonParser in, String path) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> object(in, path);
            case START_ARRAY -> list(in, path);
            case VALUE_NULL -> {} // as if it were not there
            default -> values.put(path, in.getText());
        }
    }

    private void list(JsonParser in, String path) throws IOException {
        StringBuilder plain = new StringBuilder();
        int items = 0, objects = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken().isScalarValue()) {
                plain.append(items++ > 0 ? "," : "").append(in.getText());
            } else {
                value(in, path + "." + objects++);
            }
        }
        values.put(objects > 0 ? path + ".count" : path, objects > 0 ? "" + objects : plain.toString());
    }
}
