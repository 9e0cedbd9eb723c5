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
 * Converts KDL nodes to the JSON tree that a JSON Schema checks. A node with one argument and nothing else becomes that
 * value; any other becomes an object of its properties and its children by name, with its arguments under {@code arguments}.
 * Nodes whose names are declared as lists become items of an array, even a single one; of others a second one with the same
 * name is an error.
 */
final class KdlToJson {
    /**
     * A converted document.
     *
     * @param lines for the JSON pointer of each place, its line in the file
     * @param error the first duplicate, if there is one
     */
    record Tree(ObjectNode root, Map<String, Integer> lines, Optional<KdlError> error) {}

    /** The key under which an object has its node's arguments. */
    static final String ARGUMENTS = "arguments";

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final Set<String> listNames;
    private final Map<String, Integer> lines = new HashMap<>();
    private KdlError firstError;

    private KdlToJson(Set<String> listNames) {
        this.listNames = listNames;
    }

    /**
     * Converts a document.
     *
     * @param listNames names of nodes that may occur more than once
     */
    static Tree convert(List<KdlNode> nodes, Set<String> listNames) {
        KdlToJson conversion = new KdlToJson(listNames);
        ObjectNode root = JSON.objectNode();
        conversion.lines.put("", 1);
        conversion.addAll(nodes, root, "");
        return new Tree(root, conversion.lines, Optional.ofNullable(conversion.firstError));
    }

    private void addAll(List<KdlNode> nodes, ObjectNode parent, String parentPointer) {
        for (KdlNode node : nodes) {
            String pointer = parentPointer + "/" + node.name();
            if (listNames.contains(node.name())) {
                ArrayNode items = parent.withArray(node.name());
                lines.putIfAbsent(pointer, node.line());
                items.add(json(node, pointer + "/" + items.size()));
            } else if (parent.has(node.name())) {
                duplicate(node, lines.get(pointer));
            } else {
                parent.set(node.name(), json(node, pointer));
            }
        }
    }

    private void duplicate(KdlNode node, int firstLine) {
        if (firstError == null) {
            firstError = new KdlError(node.line(), node.name() + " is given a second time, first on line " + firstLine);
        }
    }

    private JsonNode json(KdlNode node, String pointer) {
        lines.put(pointer, node.line());
        if (isSingleValue(node)) {
            return json(node.arguments().get(0).content());
        }
        ObjectNode object = JSON.objectNode();
        if (!node.arguments().isEmpty()) {
            ArrayNode arguments = object.putArray(ARGUMENTS);
            node.arguments().forEach(argument -> arguments.add(json(argument.content())));
            lines.put(pointer + "/" + ARGUMENTS, node.line());
        }
        node.properties().forEach((name, value) -> {
            object.set(name, json(value.content()));
            lines.put(pointer + "/" + name, value.line());
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

    private static JsonNode json(Object content) {
        if (content == null) {
            return JSON.nullNode();
        }
        if (content instanceof String text) {
            return JSON.textNode(text);
        }
        if (content instanceof Long number) {
            return JSON.numberNode(number);
        }
        if (content instanceof Boolean flag) {
            return JSON.booleanNode(flag);
        }
        return JSON.numberNode((Double) content);
    }
}
