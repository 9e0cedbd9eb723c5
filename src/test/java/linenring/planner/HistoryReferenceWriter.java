package linenring.planner;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPOutputStream;

/**
 * Writes the reference files of {@link RecordedHistoriesTest}, for a change that is intended to alter the planner's
 * decisions.
 */
final class HistoryReferenceWriter {
    private HistoryReferenceWriter() {}

    /** Writes one reference file for each history; the argument is the output folder. */
    public static void main(String[] args) throws IOException {
        Path folder = Files.createDirectories(Path.of(args[0]));
        for (RecordedHistories.History history : RecordedHistories.all()) {
            String text = String.join("\n", history.play()) + "\n";
            try (OutputStream file = new GZIPOutputStream(Files.newOutputStream(folder.resolve(history.file())))) {
                file.write(text.getBytes(StandardCharsets.UTF_8));
            }
        }
    }
}
