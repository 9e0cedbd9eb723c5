package linenring.kdl;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;

/**
 * Holds settings in KDL to a JSON Schema. A property's {@code description} in the schema is what a fault says was
 * expected there.
 */
public final class SettingsSchema {
    private final Schema schema;
    private final Set<String> lists;

    /**
     * @param owner whose package holds the schema
     * @param resource the schema's file
     * @param lists names of nodes that may stand more than once
     */
    public SettingsSchema(Class<?> owner, String resource, Set<String> lists) {
        this.lists = lists;
        try (InputStream in = owner.getResourceAsStream(resource)) {
            schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8), InputFormat.JSON);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads and checks a text; {@code file} is its name for faults. */
    public SettingsDocument read(String file, String text) {
        KdlReader.Read read = KdlReader.read(text);
        if (read.nodes() == null) {
            SettingsDocument unread = new SettingsDocument(file, null, Map.of());
            read.faults().forEach(f -> unread.faultOnLine(f.line(), f.what()));
            return unread;
        }
        KdlTree.Tree tree = KdlTree.of(read.nodes(), lists);
        SettingsDocument document = new SettingsDocument(file, tree.root(), tree.lines());
        if (tree.fault() != null) {
            document.faultOnLine(tree.fault().line(), tree.fault().what());
            return document;
        }
        schema.validate(tree.root()).stream()
                .sorted(Comparator.comparingInt(
                        (Error e) -> document.line(e.getInstanceLocation().toString())))
                .forEach(e -> fault(document, e));
        return document;
    }

    private static String key(String pointer) {
        String key = pointer.replaceAll("^/|/[0-9]+|/arguments", "").replace('/', '.');
        return key.isEmpty() ? "the file" : key;
    }

    private void fault(SettingsDocument document, Error e) {
        String at = e.getInstanceLocation().toString();
        String property = e.getProperty();
        boolean unnamed = "arguments".equals(property);
        switch (e.getKeyword()) {
            case "required" ->
                document.fault(at, key(at) + ": " + (unnamed ? "what it is called" : property) + " is missing");
            case "additionalProperties" ->
                document.fault(
                        at + "/" + property,
                        key(at) + ": "
                                + (unnamed
                                        ? "a value stands where properties such as name=value are expected"
                                        : property + " is not known here"));
            default -> {
                JsonNode words = e.getSchemaNode() == null ? null : description(at);
                String expected = words == null ? e.getMessage() : words.asText();
                document.fault(at, key(at) + ": " + shown(e.getInstanceNode()) + " is not " + expected);
            }
        }
    }

    /** The words of the schema for the place, found by walking it as the instance is walked. */
    private JsonNode description(String pointer) {
        JsonNode root = schema.getSchemaNode();
        JsonNode at = root;
        JsonNode words = null;
        for (String step : pointer.substring(1).split("/")) {
            at = step.matches("[0-9]+")
                    ? at.path("items")
                    : at.path("properties").path(step);
            if (at.has("$ref")) {
                at = root.at(at.get("$ref").asText().substring(1));
            }
            words = at.has("description") ? at.get("description") : words;
        }
        return words;
    }

    private static String shown(JsonNode was) {
        String text = was == null ? "it" : was.toString();
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }
}
