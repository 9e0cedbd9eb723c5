package linenring.kdl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Converts KDL nodes to a JSON tree, which can be validated against a JSON Schema. A node that has exactly one argument, no
 * properties and no children becomes a plain value. All other nodes become objects with their properties and children as
 * members and their arguments in the array {@code arguments}. Nodes whose names are declared as lists become items of an
 * array, even if there is only one; repeating any other node name is an error.
 */
final class KdlToJson {
    /**
     * A converted document.
     *
     * @param lineByPointer line number in the file by JSON pointer
     * @param duplicateError error for the first repeated node name, empty if none is repeated
     */
    record Tree(ObjectNode root, Map<String, Integer> lineByPointer, Optional<KdlError> duplicateError) {}

    /** Member of a JSON object that holds the arguments of the KDL node. */
    static final String ARGUMENTS = "arguments";

    private static final JsonNodeFactory JSON_NODES = JsonNodeFactory.instance;

    private final Set<String> listNames;
    private final Map<String, Integer> lineByPointer = new HashMap<>();
    private KdlError duplicateError;

    private KdlToJson(Set<String> listNames) {
        this.listNames = listNames;
    }

    /**
     * Converts the top-level nodes of a document.
     *
     * @param listNames names of nodes that may be repeated within one parent
     */
    static Tree convert(List<KdlNode> nodes, Set<String> listNames) {
        KdlToJson conversion = new KdlToJson(listNames);
        ObjectNode root = JSON_NODES.objectNode();
        conversion.lineByPointer.put("", 1);
        conversion.addAll(nodes, root, "");
        return new Tree(root, conversion.lineByPointer, Optional.ofNullable(conversion.duplicateError));
    }

    private void addAll(List<KdlNode> nodes, ObjectNode parent, String parentPointer) {
        for (KdlNode node : nodes) {
            String pointer = parentPointer + "/" + node.name();
            if (listNames.contains(node.name())) {
                ArrayNode items = parent.withArray(node.name());
                lineByPointer.putIfAbsent(pointer, node.line());
                items.add(toJson(node, pointer + "/" + items.size()));
            } else if (parent.has(node.name())) {
                reportDuplicate(node, lineByPointer.get(pointer));
            } else {
                parent.set(node.name(), toJson(node, pointer));
            }
        }
    }

    private void reportDuplicate(KdlNode node, int firstLine) {
        if (duplicateError == null) {
            duplicateError =
                    new KdlError(node.line(), node.name() + " is defined more than once, first on line " + firstLine);
        }
    }

    private JsonNode toJson(KdlNode node, String pointer) {
        lineByPointer.put(pointer, node.line());
        if (isSingleValue(node)) {
            return toJson(node.arguments().get(0).content());
        }
        ObjectNode object = JSON_NODES.objectNode();
        if (!node.arguments().isEmpty()) {
            ArrayNode arguments = object.putArray(ARGUMENTS);
            node.arguments().forEach(argument -> arguments.add(toJson(argument.content())));
            lineByPointer.put(pointer + "/" + ARGUMENTS, node.line());
        }
        node.properties().forEach((name, value) -> {
            object.set(name, toJson(value.content()));
            lineByPointer.put(pointer + "/" + name, value.line());
        });
        addAll(node.children(), object, pointer);
        return object;
    }

    private boolean isSingleValue(KdlNode node) {
        return node.arguments().size() == 1
                && node.properties().isEmpty()
                && node.children().isEmpty()
                && !listNames.contains(node.name());
    }

    private static JsonNode toJson(Object content) {
        if (content == null) {
            return JSON_NODES.nullNode();
        }
        if (content instanceof String text) {
            return JSON_NODES.textNode(text);
        }
        if (content instanceof Long number) {
            return JSON_NODES.numberNode(number);
        }
        if (content instanceof Boolean flag) {
            return JSON_NODES.booleanNode(flag);
        }
        return JSON_NODES.numberNode((Double) content);
    }
}
