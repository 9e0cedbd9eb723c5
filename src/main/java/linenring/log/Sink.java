package linenring.log;

import java.time.Instant;

/** The output of a {@link Log}: takes the lines that the rate limit lets through, one call at a time. */
public interface Sink {
    /**
     * Writes one line.
     *
     * @param time when the event was logged
     * @param subject the part of the program that it is about
     * @param message without control characters
     * @param suppressedLines how many lines of this subject the rate limit has held back since the last one written
     */
    void write(Instant time, Level level, String subject, String message, int suppressedLines);
}
