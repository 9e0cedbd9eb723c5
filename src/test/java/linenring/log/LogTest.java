package linenring.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

class LogTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(out, true));

    @Test
    void aFaultThatRepeatsFillsNoLogAndHidesNoOther() {
        for (int i = 0; i < 1000; i++) {
            log.warn("stream", "says nothing");
        }
        log.warn("discovery", "is down");
        assertEquals(21, out.toString().lines().count());
        assertTrue(out.toString().endsWith(" WARN discovery is down" + System.lineSeparator()));
    }

    @Test
    void whatAStrangerSentStaysOnOneLine() {
        log.info("stream", "unknown 'a\nb\r\u001b[31m'");
        assertEquals(1, out.toString().lines().count());
        assertTrue(out.toString().contains("unknown 'a?b??[31m'"));
    }
}
