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
    private static final int MAX_LINES = 20;
    private static final Duration INTERVAL = Duration.ofSeconds(10);

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(output, true, StandardCharsets.UTF_8));

    /** A clock that stands still until it is moved on. */
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

    /** A broken peer logs a thousand times within a second. The log stays short, and other subjects are still heard. */
    @Test
    void limitsRepeatedLinesOfOneSubjectAndNoOther() {
        for (int i = 0; i < 1000; i++) {
            log.warn("stream", "sends nothing");
        }
        log.warn("discovery", "is down");
        assertEquals(MAX_LINES + 1, lines().size());
        assertTrue(lines().get(MAX_LINES).endsWith(" WARN discovery is down"));
    }

    @Test
    void tellsNumberOfSuppressedLinesInTheNextInterval() {
        ManualClock clock = new ManualClock();
        Log timed = new Log(new TextSink(new PrintStream(output, true, StandardCharsets.UTF_8)), clock);
        for (int i = 0; i < MAX_LINES + 7; i++) {
            timed.info("stream", "ended");
        }
        clock.advance(INTERVAL);
        timed.info("stream", "ended");
        timed.info("stream", "ended");
        assertEquals(MAX_LINES + 2, lines().size());
        assertEquals(
                "2026-12-03T10:00:10.000Z INFO stream ended (7 more of this subject were not written)",
                lines().get(MAX_LINES));
        assertEquals("2026-12-03T10:00:10.000Z INFO stream ended", lines().get(MAX_LINES + 1));
    }

    /** What a peer sent is quoted in the log. Line ends and escape sequences in it must not forge lines. */
    @Test
    void replacesControlCharacters() {
        log.info("stream", "unknown 'a\nb\r\u001b[31m'");
        assertEquals(1, lines().size());
        assertTrue(lines().get(0).contains("unknown 'a?b??[31m'"));
    }

    @Test
    void writesOneJsonObjectForEachLineWithTheSameLimits() throws Exception {
        Log json = new Log(new JsonSink(output));
        for (int i = 0; i < 100; i++) {
            json.warn("stream", "says \"{}\"\nand more");
        }
        assertEquals(MAX_LINES, lines().size());
        JsonNode line = new ObjectMapper().readTree(lines().get(0));
        assertEquals("WARN", line.get("level").asText());
        assertEquals("says \"{}\"?and more", line.get("message").asText());
        assertEquals("stream", line.get("kvpList").get(0).get("subject").asText());
    }
}
