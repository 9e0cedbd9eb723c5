package linenring.planner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the planner's commands, their order and their times with recorded references. A change that is intended to
 * alter decisions writes new references with {@link HistoryReferenceWriter} and says so; a refactoring leaves the
 * references as they are.
 */
class RecordedHistoriesTest {
    private static final int CONTEXT_COMMANDS = 4;

    static Stream<RecordedHistories.History> histories() {
        return RecordedHistories.all().stream();
    }

    @ParameterizedTest
    @MethodSource("histories")
    void issuesRecordedCommands(RecordedHistories.History history) throws IOException {
        List<String> expected = readReference(history.file());
        List<String> actual = history.play();
        for (int i = 0; i < Math.min(expected.size(), actual.size()); i++) {
            List<String> precedingCommands = expected.subList(Math.max(0, i - CONTEXT_COMMANDS), i);
            assertEquals(expected.get(i), actual.get(i), "command " + i + " after " + precedingCommands);
        }
        assertEquals(expected.size(), actual.size());
    }

    private static List<String> readReference(String file) throws IOException {
        try (InputStream compressed = RecordedHistoriesTest.class.getResourceAsStream("histories/" + file)) {
            assertNotNull(compressed, file);
            InputStream text = new GZIPInputStream(compressed);
            return new BufferedReader(new InputStreamReader(text, StandardCharsets.UTF_8))
                    .lines()
                    .toList();
        }
    }
}
