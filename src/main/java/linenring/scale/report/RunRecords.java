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

/** Writes and reads the JSON record of a run. Records with an unknown or a missing key are rejected. */
public final class RunRecords {
    /** The run that was read, or the error with file, line and message; exactly one of the two is null. */
    public record ReadResult(ScaleRun run, String error) {}

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS) // the same run always gives the same text
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private RunRecords() {}

    /** Returns the run as JSON. */
    public static String write(ScaleRun run) {
        try {
            return JSON.writeValueAsString(run) + "\n";
        } catch (JsonProcessingException unexpected) {
            throw new UncheckedIOException(unexpected); // Jackson can write all types of a run
        }
    }

    /** Reads a record; a file that cannot be read gives an outcome with an error. */
    public static ReadResult read(Path file) {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException unreadable) {
            return new ReadResult(null, file + ": cannot be read");
        }
    }

    static ReadResult read(String file, String text) {
        try {
            return new ReadResult(JSON.readValue(text, ScaleRun.class), null);
        } catch (JsonProcessingException invalid) {
            int line = invalid.getLocation() == null ? 1 : invalid.getLocation().getLineNr();
            return new ReadResult(null, file + ":" + line + ": " + invalid.getOriginalMessage());
        }
    }
}
