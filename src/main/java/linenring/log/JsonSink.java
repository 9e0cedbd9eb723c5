package linenring.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import java.io.OutputStream;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes each log line as one JSON object, encoded by Logback. The subject and the number of suppressed lines are key-value
 * pairs; the number has the key {@code held} (docs/oncall.md).
 */
public final class JsonSink implements Sink {
    private static final String SUBJECT_KEY = "subject";
    private static final String SUPPRESSED_LINES_KEY = "held";

    private final Logger logger;

    /** Creates a sink that writes to this stream. */
    public JsonSink(OutputStream out) {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(
                new LogbackMDCAdapter()); // Logback's events require an MDC adapter, although the MDC is not used
        context.start();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder(context));
        appender.setOutputStream(out);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(ch.qos.logback.classic.Level.INFO);
        root.addAppender(appender);
        logger = context.getLogger("linenring");
    }

    /** Creates an encoder without the fields that are always empty here or that repeat the time. */
    private static JsonEncoder encoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithThrowable(false);
        encoder.setWithMarkers(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithSequenceNumber(false);
        encoder.start();
        return encoder;
    }

    @Override
    public void write(Instant time, Level level, String subject, String message, int suppressedLines) {
        LoggingEventBuilder event =
                logger.atLevel(org.slf4j.event.Level.valueOf(level.name())).addKeyValue(SUBJECT_KEY, subject);
        if (suppressedLines > 0) {
            event = event.addKeyValue(SUPPRESSED_LINES_KEY, suppressedLines);
        }
        event.log(message);
    }
}
