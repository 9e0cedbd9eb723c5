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
 * Validates settings in KDL against a JSON Schema. Error messages use the {@code description} of a property in the schema as
 * the expected value.
 */
public final class SettingsSchema {
    private static final int MAX_QUOTED_CHARS = 60;

    private final Schema schema;
    private final Set<String> listNames;

    /**
     * Loads a JSON Schema from the class path.
     *
     * @param owner class whose package contains the schema file
     * @param resource file name of the schema
     * @param listNames names of KDL nodes that may be repeated within one parent
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
     * Parses a KDL text and validates it against the schema.
     *
     * @param file name of the settings file, used in error messages
     */
    public SettingsDocument read(String file, String text) {
        KdlReadResult result = KdlReader.read(text);
        if (result instanceof KdlReadResult.Invalid invalid) {
            SettingsDocument invalidDocument = new SettingsDocument(file, null, Map.of());
            invalid.errors().forEach(error -> invalidDocument.addErrorOnLine(error.line(), error.message()));
            return invalidDocument;
        }
        return validate(file, ((KdlReadResult.Document) result));
    }

    private SettingsDocument validate(String file, KdlReadResult.Document parsed) {
        KdlToJson.Tree tree = KdlToJson.convert(parsed.nodes(), listNames);
        SettingsDocument document = new SettingsDocument(file, tree.root(), tree.lineByPointer());
        if (tree.duplicateError().isPresent()) {
            KdlError error = tree.duplicateError().get();
            document.addErrorOnLine(error.line(), error.message());
            return document;
        }
        schema.validate(tree.root()).stream()
                .sorted(Comparator.comparingInt((Error error) ->
                        document.lineOf(error.getInstanceLocation().toString())))
                .forEach(error -> addError(document, error));
        return document;
    }

    /** Returns the dotted name of a JSON pointer for error messages, such as {@code front.hosts.idle}. */
    private static String dottedName(String pointer) {
        String key =
                pointer.replaceAll("^/|/[0-9]+|/" + KdlToJson.ARGUMENTS, "").replace('/', '.');
        return key.isEmpty() ? "the file" : key;
    }

    private void addError(SettingsDocument document, Error error) {
        String pointer = error.getInstanceLocation().toString();
        String property = error.getProperty();
        boolean isArguments = KdlToJson.ARGUMENTS.equals(property);
        switch (error.getKeyword()) {
            case "required" -> {
                String missing = isArguments ? "its name" : property;
                document.addError(pointer, dottedName(pointer) + ": " + missing + " is missing");
            }
            case "additionalProperties" -> {
                String unexpected = isArguments
                        ? "expected properties such as name=value, found a value"
                        : property + " is not a known key here";
                document.addError(pointer + "/" + property, dottedName(pointer) + ": " + unexpected);
            }
            default -> {
                String expected = expectedDescription(pointer, error).orElse(error.getMessage());
                String found = shorten(error.getInstanceNode());
                document.addError(pointer, dottedName(pointer) + ": " + found + " is not " + expected);
            }
        }
    }

    /** Returns the schema's description of the element at a JSON pointer, or of its nearest ancestor that has a description. */
    private Optional<String> expectedDescription(String pointer, Error error) {
        if (error.getSchemaNode() == null) {
            return Optional.empty();
        }
        JsonNode root = schema.getSchemaNode();
        JsonNode subschema = root;
        Optional<String> description = Optional.empty();
        for (String step : pointer.substring(1).split("/", -1)) {
            subschema = step.matches("[0-9]+")
                    ? subschema.path("items")
                    : subschema.path("properties").path(step);
            if (subschema.has("$ref")) {
                subschema = root.at(subschema.get("$ref").asText().substring(1));
            }
            if (subschema.has("description")) {
                description = Optional.of(subschema.get("description").asText());
            }
        }
        return description;
    }

    private static String shorten(JsonNode found) {
        String text = found == null ? "it" : found.toString();
        return text.length() <= MAX_QUOTED_CHARS ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
    }
}
