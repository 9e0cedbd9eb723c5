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

/** The JSON record of a run, written and read again. A record with a key too many or too few is refused. */
public final class RunRecords {
    /** A run, or why there is none; one of the two is null. */
    public record Outcome(ScaleRun run, String fault) {}

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS) // the same run is the same text
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private RunRecords() {}

    public static String write(ScaleRun run) {
        try {
            return JSON.writeValueAsString(run) + "\n";
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e); // memory takes what is written
        }
    }

    public static Outcome read(Path file) {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return new Outcome(null, file + ": cannot be read");
        }
    }

    static Outcome read(String file, String text) {
        try {
            return new Outcome(JSON.readValue(text, ScaleRun.class), null);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            return new Outcome(null, file + ":" + line + ": " + e.getOriginalMessage());
        }
    }
}
