package linenring.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import org.junit.jupiter.api.Test;

class LogTest {
    private static final int MAX_LINES_PER_INTERVAL = 20;
    private static final Duration INTERVAL = Duration.ofSeconds(10);

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(output, true, StandardCharsets.UTF_8));

    /** A clock whose time changes only by {@link #advance}. */
    private static final class ManualClock extends Clock {
        private Instant now = Instant.parse("2026-12-03T10:00:00Z");

        void advance(Duration time) {
            now = now.plus(time);
        }

        @Override
        public Instant instant() {
            return now;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }

    private List<String> lines() {
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** A faulty peer causes a thousand lines within a second. Only lines of that subject are suppressed. */
    @Test
    void limitsRepeatedLinesOfOneSubjectAndNoOther() {
        for (int i = 0; i < 1000; i++) {
            log.warn("stream", "sends nothing");
        }
        log.warn("discovery", "is down");
        assertEquals(MAX_LINES_PER_INTERVAL + 1, lines().size());
        assertTrue(lines().get(MAX_LINES_PER_INTERVAL).endsWith(" WARN discovery is down"));
    }

    @Test
    void reportsNumberOfSuppressedLinesInTheNextInterval() {
        ManualClock clock = new ManualClock();
        Log logWithManualClock = new Log(new TextSink(new PrintStream(output, true, StandardCharsets.UTF_8)), clock);
        for (int i = 0; i < MAX_LINES_PER_INTERVAL + 7; i++) {
            logWithManualClock.info("stream", "ended");
        }
        clock.advance(INTERVAL);
        logWithManualClock.info("stream", "ended");
        logWithManualClock.info("stream", "ended");
        assertEquals(MAX_LINES_PER_INTERVAL + 2, lines().size());
        assertEquals(
                "2026-12-03T10:00:10.000Z INFO stream ended (7 more lines of this subject were suppressed)",
                lines().get(MAX_LINES_PER_INTERVAL));
        assertEquals("2026-12-03T10:00:10.000Z INFO stream ended", lines().get(MAX_LINES_PER_INTERVAL + 1));
    }

    /** Messages may quote bytes from a peer. Line ends and escape sequences in these must not forge log lines. */
    @Test
    void replacesControlCharacters() {
        log.info("stream", "unknown 'a\nb\r\u001b[31m'");
        assertEquals(1, lines().size());
        assertTrue(lines().get(0).contains("unknown 'a?b??[31m'"));
    }

    @Test
    void writesOneJsonObjectForEachLineWithTheSameLimits() throws Exception {
        Log jsonLog = new Log(new JsonSink(output));
        for (int i = 0; i < 100; i++) {
            jsonLog.warn("stream", "says \"{}\"\nand more");
        }
        assertEquals(MAX_LINES_PER_INTERVAL, lines().size());
        JsonNode line = new ObjectMapper().readTree(lines().get(0));
        assertEquals("WARN", line.get("level").asText());
        assertEquals("says \"{}\"?and more", line.get("message").asText());
        assertEquals("stream", line.get("kvpList").get(0).get("subject").asText());
    }
}
