package linenring.log;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/**
 * Writes log lines as text: time (UTC), level, subject, message. Uses no logging library, since loading one would delay the
 * start of a controller without a gateway.
 */
final class TextSink implements Sink {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private final PrintStream out;

    TextSink(PrintStream out) {
        this.out = out;
    }

    @Override
    public void write(Instant time, Level level, String subject, String message, int suppressedLines) {
        String line = TIME.format(time) + ' ' + level + ' ' + subject + ' ' + message;
        out.println(
                suppressedLines == 0
                        ? line
                        : line + " (" + suppressedLines + " more lines of this subject were suppressed)");
    }
}
