package linenring.log;

import java.io.PrintStream;
import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The program's log, for the operators. Each line has a time, a level, a subject and a message. Lines are rate limited
 * for each subject, since a failure that repeats thousands of times a second would fill the disk and hide all other
 * lines: each subject may write {@link #MAX_LINES_PER_INTERVAL} lines in {@link #INTERVAL_MS}. Further lines are
 * suppressed, and the subject's first line in the next interval reports their number. Subjects are few and
 * constants of this program, so the number of counters is bounded. Thread-safe.
 */
public final class Log {
    /** Line limit of a subject in one interval; sufficient for one line about each proxy of a small fleet. */
    private static final int MAX_LINES_PER_INTERVAL = 20;
    /**
     * Interval of the rate limit; with {@link #MAX_LINES_PER_INTERVAL} each subject writes at most two lines a second,
     * which a person can follow.
     */
    private static final long INTERVAL_MS = 10_000;

    private static final char DELETE = 0x7f;

    /** The rate limit of one subject. */
    private static final class RateLimit {
        private long intervalStartMs;
        private int linesInInterval;

        /**
         * Starts a new interval if the current one has elapsed; returns the number of lines suppressed in the elapsed
         * interval.
         */
        int startNextIntervalIfElapsed(long nowMs) {
            if (nowMs - intervalStartMs < INTERVAL_MS) {
                return 0;
            }
            int suppressed = Math.max(0, linesInInterval - MAX_LINES_PER_INTERVAL);
            intervalStartMs = nowMs;
            linesInInterval = 0;
            return suppressed;
        }

        /** Counts one line; returns whether the line is within the limit. */
        boolean tryAcquireLine() {
            linesInInterval++;
            return linesInInterval <= MAX_LINES_PER_INTERVAL;
        }
    }

    private final Sink sink;
    private final Clock clock;
    private final Map<String, RateLimit> rateLimits = new HashMap<>(); // keyed by subject; @GuardedBy("this")

    /** Creates a log that writes text lines to this stream. */
    public Log(PrintStream out) {
        this(new TextSink(out));
    }

    /** Creates a log that writes to this sink. */
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
        RateLimit rateLimit = rateLimits.computeIfAbsent(subject, name -> new RateLimit());
        int suppressedLines = rateLimit.startNextIntervalIfElapsed(now.toEpochMilli());
        if (rateLimit.tryAcquireLine()) {
            sink.write(now, level, subject, withoutControlCharacters(message), suppressedLines);
        }
    }

    /**
     * Replaces control characters: a message may quote bytes from a peer, whose line ends and escape sequences must not
     * forge log lines.
     */
    private static String withoutControlCharacters(String message) {
        StringBuilder line = new StringBuilder(message.length());
        for (int i = 0; i < message.length(); i++) {
            char character = message.charAt(i);
            line.append(character < ' ' || character == DELETE ? '?' : character);
        }
        return line.toString();
    }
}
