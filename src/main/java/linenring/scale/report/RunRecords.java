package linenring.scale.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import linenring.scale.measurement.ScaleRun;

/** The JSON record of a run, written and read again. A record with an unknown or a missing key is refused. */
public final class RunRecords {
    /** A run, or the error as file, line and message; one of the two is null. */
    public record Outcome(ScaleRun run, String fault) {}

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS) // a run gives the same text each time
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private RunRecords() {}

    /** The run as JSON. */
    public static String write(ScaleRun run) {
        try {
            return JSON.writeValueAsString(run) + "\n";
        } catch (JsonProcessingException unexpected) {
            throw new UncheckedIOException(unexpected); // the types of a run are all known to Jackson
        }
    }

    /** Reads a record; an unreadable file is an error in the outcome. */
    public static Outcome read(Path file) {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException unreadable) {
            return new Outcome(null, file + ": cannot be read");
        }
    }

    static Outcome read(String file, String text) {
        try {
            return new Outcome(JSON.readValue(text, ScaleRun.class), null);
        } catch (JsonProcessingException invalid) {
            int line = invalid.getLocation() == null ? 1 : invalid.getLocation().getLineNr();
            return new Outcome(null, file + ":" + line + ": " + invalid.getOriginalMessage());
        }
    }
}
