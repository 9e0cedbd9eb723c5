package linenring.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import java.io.OutputStream;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** One JSON object a line, by logback: the words as the message, subject and held as key-values. */
public final class JsonSink implements Sink {
    private final Logger logger;

    public JsonSink(OutputStream out) {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter()); // events ask for one, though nothing is kept in it
        context.start();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithThrowable(false);
        encoder.setWithMarkers(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithSequenceNumber(false);
        encoder.start();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setOutputStream(out);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(ch.qos.logback.classic.Level.INFO);
        root.addAppender(appender);
        logger = context.getLogger("linenring");
    }

    @Override
    public void write(Instant at, String level, String subject, String words, int held) {
        LoggingEventBuilder event = logger.atLevel(Level.valueOf(level)).addKeyValue("subject", subject);
        (held == 0 ? event : event.addKeyValue("held", held)).log(words);
    }
}
