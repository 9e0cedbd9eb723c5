package linenring.kdl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One settings file as it was read: its tree, and the faults found so far, each with file, line and what was expected. */
public final class SettingsDocument {
    private final String file;
    private final JsonNode root;
    private final Map<String, Integer> lines;
    private final List<String> faults = new ArrayList<>();

    SettingsDocument(String file, JsonNode root, Map<String, Integer> lines) {
        this.file = file;
        this.root = root;
        this.lines = lines;
    }

    /** The tree; null where the text is no KDL. It is what the schema says only where there are no faults. */
    public JsonNode root() {
        return root;
    }

    /** Each fault once, in the order found. */
    public List<String> faults() {
        return faults.stream().distinct().toList();
    }

    public boolean isSound() {
        return faults.isEmpty();
    }

    /** Adds a fault at the place of a JSON pointer into the tree. */
    public void fault(String pointer, String what) {
        faultOnLine(line(pointer), what);
    }

    void faultOnLine(int line, String what) {
        faults.add(file + ":" + line + ": " + what);
    }

    /** The line of the place, or of the nearest one round it that the file has. */
    int line(String pointer) {
        String at = pointer;
        while (!lines.containsKey(at) && !at.isEmpty()) {
            at = at.substring(0, Math.max(0, at.lastIndexOf('/')));
        }
        return lines.getOrDefault(at, 1);
    }
}
