package linenring.log;

import java.time.Instant;

/** Output of a {@link Log}, which calls the sink for each line that the rate limit admits, one call at a time. */
public interface Sink {
    /**
     * Writes one line.
     *
     * @param time when the event was logged
     * @param subject part of the program that the line is about
     * @param message text of the line, without control characters
     * @param suppressedLines number of lines of this subject that the rate limit has suppressed since the last written line
     */
    void write(Instant time, Level level, String subject, String message, int suppressedLines);
}
