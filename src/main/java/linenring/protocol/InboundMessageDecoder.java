package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;

/** Decodes the messages of proxies and collectors, each of which is one JSON object. */
final class InboundMessageDecoder {
    private final JsonFactory json;
    private final Names names;

    InboundMessageDecoder(JsonFactory json, Names names) {
        this.json = json;
        this.names = names;
    }

    DecodeResult<InboundMessage> decode(byte[] line, int length) {
        try (JsonParser parser = json.createParser(line, 0, length)) {
            return decode(parser);
        } catch (IOException malformed) {
            return DecodeResult.failed(Stage.TEXT, "not JSON");
        }
    }

    private DecodeResult<InboundMessage> decode(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            return DecodeResult.failed(Stage.TEXT, "not a JSON object");
        }
        InboundMessageFields fields = new InboundMessageFields(names);
        Optional<InvalidFieldException> firstInvalid = readFields(parser, fields);
        if (parser.nextToken() != null) {
            return DecodeResult.failed(Stage.TEXT, "more than one JSON object on a line");
        }
        if (firstInvalid.isPresent()) {
            return DecodeResult.failed(Stage.FIELDS, firstInvalid.get().getMessage());
        }
        return toMessage(fields);
    }

    /**
     * Reads all fields and returns the error of the first invalid one. The object is read to its end even after an invalid field:
     * only complete JSON counts as an invalid message, whereas malformed JSON is no message of this protocol.
     */
    private static Optional<InvalidFieldException> readFields(JsonParser parser, InboundMessageFields fields)
            throws IOException {
        Optional<InvalidFieldException> firstInvalid = Optional.empty();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            parser.nextToken();
            try {
                fields.read(field, parser);
            } catch (InvalidFieldException invalid) {
                firstInvalid = Optional.of(firstInvalid.orElse(invalid));
                parser.skipChildren();
            }
        }
        return firstInvalid;
    }

    private static DecodeResult<InboundMessage> toMessage(InboundMessageFields fields) {
        String type = fields.type();
        if (type == null) {
            return DecodeResult.failed(Stage.KIND, "field @type is missing");
        }
        try {
            return switch (type) {
                case "PING" -> decoded(new InboundMessage.Ping());
                case "SOURCE" -> decoded(new InboundMessage.Collector(fields.zone()));
                case "SUBSCRIBE" -> decoded(subscribe(fields));
                case "ACK" -> decoded(acknowledgement(fields));
                case "LOAD" -> decoded(loadReport(fields));
                case "RATE" -> decoded(requestRateReport(fields));
                default -> DecodeResult.failed(Stage.KIND, "unknown @type '" + FieldValues.abbreviated(type) + "'");
            };
        } catch (InvalidFieldException invalid) {
            return DecodeResult.failed(Stage.FIELDS, invalid.getMessage());
        }
    }

    private static DecodeResult<InboundMessage> decoded(InboundMessage message) {
        return new DecodeResult.Decoded<>(message);
    }

    private static InboundMessage subscribe(InboundMessageFields fields) throws InvalidFieldException {
        return new InboundMessage.Subscribe(fields.proxy(), fields.zone(), fields.requestsPerSecond(), fields.isNew());
    }

    private static InboundMessage acknowledgement(InboundMessageFields fields) throws InvalidFieldException {
        return new InboundMessage.Acknowledgement(fields.proxy(), fields.nonce(), fields.elapsedMs());
    }

    private static InboundMessage loadReport(InboundMessageFields fields) throws InvalidFieldException {
        int requests = fields.requests();
        int failed = fields.failedOfPeriod(requests);
        return new InboundMessage.LoadReport(
                fields.host(),
                fields.zone(),
                requests,
                failed,
                fields.meanLatencyMs(failed < requests),
                fields.periodMs());
    }

    private static InboundMessage requestRateReport(InboundMessageFields fields) throws InvalidFieldException {
        int requests = fields.requests();
        fields.failed(); // validated but not used: failures may belong to requests of an earlier period
        return new InboundMessage.RequestRateReport(fields.proxy(), fields.operation(), requests, fields.periodMs());
    }
}
