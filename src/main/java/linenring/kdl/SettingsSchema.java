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
import java.util.Optional;
import java.util.Set;

/**
 * Checks settings in KDL against a JSON Schema. The {@code description} of a property in the schema is what an error message says
 * was expected there.
 */
public final class SettingsSchema {
    private static final int MAX_QUOTED_CHARS = 60;

    private final Schema schema;
    private final Set<String> listNames;

    /**
     * Loads a schema.
     *
     * @param owner the class whose package holds the schema
     * @param resource the schema's file
     * @param listNames names of nodes that may occur more than once
     */
    public SettingsSchema(Class<?> owner, String resource, Set<String> listNames) {
        this.listNames = listNames;
        try (InputStream resourceStream = owner.getResourceAsStream(resource)) {
            schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(new String(resourceStream.readAllBytes(), StandardCharsets.UTF_8), InputFormat.JSON);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /**
     * Reads and checks a text.
     *
     * @param file its name, for error messages
     */
    public SettingsDocument read(String file, String text) {
        KdlReadResult result = KdlReader.read(text);
        if (result instanceof KdlReadResult.Invalid invalid) {
            SettingsDocument unread = new SettingsDocument(file, null, Map.of());
            invalid.errors().forEach(error -> unread.faultOnLine(error.line(), error.message()));
            return unread;
        }
        return check(file, ((KdlReadResult.Document) result));
    }

    private SettingsDocument check(String file, KdlReadResult.Document read) {
        KdlToJson.Tree tree = KdlToJson.convert(read.nodes(), listNames);
        SettingsDocument document = new SettingsDocument(file, tree.root(), tree.lines());
        if (tree.error().isPresent()) {
            KdlError error = tree.error().get();
            document.faultOnLine(error.line(), error.message());
            return document;
        }
        schema.validate(tree.root()).stream()
                .sorted(Comparator.comparingInt((Error error) ->
                        document.line(error.getInstanceLocation().toString())))
                .forEach(error -> addFault(document, error));
        return document;
    }

    /** The name of a place as operators write it: {@code front.hosts.idle}. */
    private static String key(String pointer) {
        String key =
                pointer.replaceAll("^/|/[0-9]+|/" + KdlToJson.ARGUMENTS, "").replace('/', '.');
        return key.isEmpty() ? "the file" : key;
    }

    private void addFault(SettingsDocument document, Error error) {
        String pointer = error.getInstanceLocation().toString();
        String property = error.getProperty();
        boolean isArguments = KdlToJson.ARGUMENTS.equals(property);
        switch (error.getKeyword()) {
            case "required" -> {
                String missing = isArguments ? "what it is called" : property;
                document.fault(pointer, key(pointer) + ": " + missing + " is missing");
            }
            case "additionalProperties" -> {
                String unexpected = isArguments
                        ? "a value stands where properties such as name=value are expected"
                        : property + " is not known here";
                document.fault(pointer + "/" + property, key(pointer) + ": " + unexpected);
            }
            default -> {
                String expected = description(pointer, error).orElse(error.getMessage());
                String found = shortened(error.getInstanceNode());
                document.fault(pointer, key(pointer) + ": " + found + " is not " + expected);
            }
        }
    }

    /** The schema's description of the place or of the nearest enclosing one, found by walking the schema along the pointer. */
    private Optional<String> description(String pointer, Error error) {
        if (error.getSchemaNode() == null) {
            return Optional.empty();
        }
        JsonNode root = schema.getSchemaNode();
        JsonNode place = root;
        Optional<String> description = Optional.empty();
        for (String step : pointer.substring(1).split("/", -1)) {
            place = step.matches("[0-9]+")
                    ? place.path("items")
                    : place.path("properties").path(step);
            if (place.has("$ref")) {
                place = root.at(place.get("$ref").asText().substring(1));
            }
            if (place.has("description")) {
                description = Optional.of(place.get("description").asText());
            }
        }
        return description;
    }

    private static String shortened(JsonNode found) {
        String text = found == null ? "it" : found.toString();
        return text.length() <= MAX_QUOTED_CHARS ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
    }
}
