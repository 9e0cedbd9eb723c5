package linenring.kdl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One settings file: its content as a JSON tree, and the errors found so far, each with file, line and what was expected. */
public final class SettingsDocument {
    private final String file;
    private final JsonNode root;
    private final Map<String, Integer> lines;
    private final List<String> faults = new ArrayList<>();

    /** {@code lines}: for the JSON pointer of each place, its line in the file. */
    SettingsDocument(String file, JsonNode root, Map<String, Integer> lines) {
        this.file = file;
        this.root = root;
        this.lines = lines;
    }

    /** The tree; null where the text is no KDL. It matches the schema only where there are no errors. */
    public JsonNode root() {
        return root;
    }

    /** Each error once, as {@code file:line: message}, in the order found. */
    public List<String> faults() {
        return faults.stream().distinct().toList();
    }

    /** Whether no error was found. */
    public boolean isSound() {
        return faults.isEmpty();
    }

    /** Adds an error at the place of a JSON pointer into the tree. */
    public void fault(String pointer, String message) {
        faultOnLine(line(pointer), message);
    }

    void faultOnLine(int line, String message) {
        faults.add(file + ":" + line + ": " + message);
    }

    /** The line of the place, or of the nearest enclosing one that the file has. */
    int line(String pointer) {
        String place = pointer;
        while (!lines.containsKey(place) && !place.isEmpty()) {
            place = place.substring(0, Math.max(0, place.lastIndexOf('/')));
        }
        return lines.getOrDefault(place, 1);
    }
}
