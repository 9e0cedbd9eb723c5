package linenring.kdl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Content of one settings file as a JSON tree, with the errors found so far. Each error names the file and the line. */
public final class SettingsDocument {
    private final String file;
    private final JsonNode root;
    private final Map<String, Integer> lineByPointer;
    private final List<String> errors = new ArrayList<>();

    /**
     * Creates a document without errors.
     *
     * @param root the content, or null if the text is not valid KDL
     * @param lineByPointer line number in the file by JSON pointer
     */
    SettingsDocument(String file, JsonNode root, Map<String, Integer> lineByPointer) {
        this.file = file;
        this.root = root;
        this.lineByPointer = lineByPointer;
    }

    /** Returns the JSON tree, or null if the text is not valid KDL. The tree conforms to the schema only if there are no errors. */
    public JsonNode root() {
        return root;
    }

    /** Returns the distinct errors as {@code file:line: message}, in the order found. */
    public List<String> errors() {
        return errors.stream().distinct().toList();
    }

    /** Whether no error has been found. */
    public boolean isValid() {
        return errors.isEmpty();
    }

    /** Adds an error at the line of the element that a JSON pointer identifies. */
    public void addError(String pointer, String message) {
        addErrorOnLine(lineOf(pointer), message);
    }

    void addErrorOnLine(int line, String message) {
        errors.add(file + ":" + line + ": " + message);
    }

    /** Returns the line of the element at a JSON pointer, or of its nearest ancestor that has a known line. */
    int lineOf(String pointer) {
        String ancestor = pointer;
        while (!lineByPointer.containsKey(ancestor) && !ancestor.isEmpty()) {
            ancestor = ancestor.substring(0, Math.max(0, ancestor.lastIndexOf('/')));
        }
        return lineByPointer.getOrDefault(ancestor, 1);
    }
}
