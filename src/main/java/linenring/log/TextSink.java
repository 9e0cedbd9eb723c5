package linenring.log;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Lines of text: time, level, subject, words. It needs no library, so that a steward alone starts quickly. */
final class TextSink implements Sink {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private final PrintStream out;

    TextSink(PrintStream out) {
        this.out = out;
    }

    @Override
    public void write(Instant at, String level, String subject, String words, int held) {
        String line = TIME.format(at) + ' ' + level + ' ' + subject + ' ' + words;
        out.println(held == 0 ? line : line + " (" + held + " more were not written)");
    }
}
