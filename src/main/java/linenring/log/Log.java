package linenring.log;

import java.io.PrintStream;
import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The program's log, for the operators: time, level, subject, message. A failure that repeats itself thousands of times a
 * second would fill the disk and hide all other lines. So a subject gets {@link #MAX_LINES} lines in {@link #INTERVAL_MS};
 * further ones are counted, and the next line of that subject says how many there were. Subjects are constants of this
 * program and few, so the counters are bounded. Thread-safe.
 */
public final class Log {
    /** Enough for one line about each proxy of a small fleet. */
    private static final int MAX_LINES = 20;
    /** With {@link #MAX_LINES} it comes to two lines a second for each subject, which a person can follow. */
    private static final long INTERVAL_MS = 10_000;

    private static final char DELETE = 0x7f;

    /** The rate limit of one subject. */
    private static final class Quota {
        private long intervalStartMs;
        private int linesInInterval;

        /** Begins a new interval if the last one is over; returns how many lines the last one held back. */
        int beginIntervalIfOver(long nowMs) {
            if (nowMs - intervalStartMs < INTERVAL_MS) {
                return 0;
            }
            int suppressed = Math.max(0, linesInInterval - MAX_LINES);
            intervalStartMs = nowMs;
            linesInInterval = 0;
            return suppressed;
        }

        /** Counts one line; false if it is beyond the limit. */
        boolean admitsLine() {
            linesInInterval++;
            return linesInInterval <= MAX_LINES;
        }
    }

    private final Sink sink;
    private final Clock clock;
    private final Map<String, Quota> quotas = new HashMap<>(); // by subject; guarded by this

    /** A log of text lines. */
    public Log(PrintStream out) {
        this(new TextSink(out));
    }

    /** A log that writes to this sink. */
    public Log(Sink sink) {
        this(sink, Clock.systemUTC());
    }

    Log(Sink sink, Clock clock) {
        this.sink = sink;
        this.clock = clock;
    }

    /** Logs an event that needs no action. */
    public void info(String subject, String message) {
        write(Level.INFO, subject, message);
    }

    /** Logs an event that may need an action. */
    public void warn(String subject, String message) {
        write(Level.WARN, subject, message);
    }

    /** Logs a defect, or a loss of service. */
    public void error(String subject, String message) {
        write(Level.ERROR, subject, message);
    }

    private synchronized void write(Level level, String subject, String message) {
        Instant now = clock.instant();
        Quota quota = quotas.computeIfAbsent(subject, name -> new Quota());
        int suppressedLines = quota.beginIntervalIfOver(now.toEpochMilli());
        if (quota.admitsLine()) {
            sink.write(now, level, subject, withoutControlCharacters(message), suppressedLines);
        }
    }

    /** Messages may quote what a peer sent: line ends and terminal escapes in it must not forge or garble other lines. */
    private static String withoutControlCharacters(String message) {
        StringBuilder line = new StringBuilder(message.length());
        for (int i = 0; i < message.length(); i++) {
            char character = message.charAt(i);
            line.append(character < ' ' || character == DELETE ? '?' : character);
        }
        return line.toString();
    }
}
