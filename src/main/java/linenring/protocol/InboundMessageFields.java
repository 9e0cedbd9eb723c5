package linenring.protocol;

import static java.util.Map.entry;
import static linenring.protocol.FieldValues.bool;
import static linenring.protocol.FieldValues.existingIndex;
import static linenring.protocol.FieldValues.integer;
import static linenring.protocol.FieldValues.nonNegative;
import static linenring.protocol.FieldValues.number;
import static linenring.protocol.FieldValues.required;
import static linenring.protocol.FieldValues.text;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.Map;
import linenring.settings.Names;

/**
 * The fields of one inbound message. They are read in any order, before the message type is known; each accessor validates its
 * field. Unknown fields are skipped.
 */
final class InboundMessageFields {
    /** Maximum duration in a message: 1 h. */
    private static final double MAX_DURATION_MS = 3_600_000;
    /** Maximum request count or request rate in a message. */
    private static final int MAX_REQUESTS = 1_000_000;

    private static final int MAX_NONCE = 65_535;

    /** Field readers by field name on the wire. */
    private static final Map<String, FieldReader<InboundMessageFields>> READERS = Map.ofEntries(
            entry("@type", (message, field, parser) -> message.type = text(field, parser)),
            entry("site", (message, field, parser) -> message.zone = text(field, parser)),
            entry("target", (message, field, parser) -> message.host = text(field, parser)),
            entry("lane", (message, field, parser) -> message.operation = text(field, parser)),
            entry("id", (message, field, parser) -> message.proxy = number(field, parser)),
            entry("count", (message, field, parser) -> message.requests = number(field, parser)),
            entry("fail", (message, field, parser) -> message.failed = number(field, parser)),
            entry("mean", (message, field, parser) -> message.meanLatencyMs = number(field, parser)),
            entry("over", (message, field, parser) -> message.periodMs = number(field, parser)),
            entry("rps", (message, field, parser) -> message.requestsPerSecond = number(field, parser)),
            entry("seq", (message, field, parser) -> message.nonce = number(field, parser)),
            entry("ms", (message, field, parser) -> message.elapsedMs = number(field, parser)),
            entry("new", (message, field, parser) -> message.isNew = bool(field, parser)));

    private final Names names;
    private String type;
    private String zone;
    private String host;
    private String operation;
    private Double proxy;
    private Double requests;
    private Double failed;
    private Double meanLatencyMs;
    private Double periodMs;
    private Double requestsPerSecond;
    private Double nonce;
    private Double elapsedMs;
    private Boolean isNew;

    InboundMessageFields(Names names) {
        this.names = names;
    }

    /** Reads the field's value at the parser's current token. */
    void read(String field, JsonParser parser) throws IOException, InvalidFieldException {
        FieldReader<InboundMessageFields> reader = READERS.get(field);
        if (reader == null) {
            parser.skipChildren();
        } else {
            reader.read(this, field, parser);
        }
    }

    /** Returns the message type, or null if the field is missing. */
    String type() {
        return type;
    }

    /** Returns the proxy's id. An id outside the configured range is rejected, since it would take the place of another proxy. */
    int proxy() throws InvalidFieldException {
        return integer("id", proxy, names.proxyCount() - 1);
    }

    int zone() throws InvalidFieldException {
        return existingIndex("site", names.zones(), zone);
    }

    String host() throws InvalidFieldException {
        return required("target", host);
    }

    int operation() throws InvalidFieldException {
        return existingIndex("lane", names.operations(), operation);
    }

    int requests() throws InvalidFieldException {
        return integer("count", requests, MAX_REQUESTS);
    }

    /** Returns the number of failed requests, at most {@code allRequests}. */
    int failedOfPeriod(int allRequests) throws InvalidFieldException {
        return integer("fail", failed, allRequests);
    }

    /** Returns the number of failed requests, which may include requests of earlier periods. */
    int failed() throws InvalidFieldException {
        return integer("fail", failed, MAX_REQUESTS);
    }

    /** Returns the mean latency of successful requests; the field is optional if no request succeeded. */
    double meanLatencyMs(boolean hasSuccesses) throws InvalidFieldException {
        return !hasSuccesses && meanLatencyMs == null ? 0 : nonNegative("mean", meanLatencyMs, MAX_DURATION_MS);
    }

    /** Returns the length of the report's period, which must be positive since rates are counts divided by the period. */
    double periodMs() throws InvalidFieldException {
        double period = nonNegative("over", periodMs, MAX_DURATION_MS);
        if (period == 0) {
            throw InvalidFieldException.ofValue("over", "the period must be longer than 0 ms");
        }
        return period;
    }

    double requestsPerSecond() throws InvalidFieldException {
        return nonNegative("rps", requestsPerSecond, MAX_REQUESTS);
    }

    int nonce() throws InvalidFieldException {
        return integer("seq", nonce, MAX_NONCE);
    }

    double elapsedMs() throws InvalidFieldException {
        return nonNegative("ms", elapsedMs, MAX_DURATION_MS);
    }

    boolean isNew() throws InvalidFieldException {
        return required("new", isNew);
    }
}
