package linenring.protocol;

import static linenring.protocol.FieldValues.from0;
import static linenring.protocol.FieldValues.number;
import static linenring.protocol.FieldValues.place;
import static linenring.protocol.FieldValues.present;
import static linenring.protocol.FieldValues.shown;
import static linenring.protocol.FieldValues.text;
import static linenring.protocol.FieldValues.truth;
import static linenring.protocol.FieldValues.whole;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;

/** Reads and writes messages: each is decoded once and encoded once. Unknown fields are passed over. */
public final class Codec {
    /** The answer to a ping. */
    private static final byte[] PONG = "{\"@type\":\"PONG\"}\n".getBytes(StandardCharsets.US_ASCII);

    private static final double LONGEST_MS = 3_600_000; // no time that a message tells of is longer
    private static final int COUNT_MOST = 1_000_000; // nor is more counted in one

    private final JsonFactory json = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
            .build(); // out of range, and no reason to stop reading
    private final JsonFactory hostLists = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxStringLength(HostListReader.ENTRY_BYTES_MOST)
                    .build())
            .build(); // no text of a list is longer than an entry may be
    private final Names names;

    public Codec(Names names) {
        this.names = names;
    }

    /** The fields of one line, as far as any kind of message has them. */
    private static final class Fields {
        String type, site, target, lane;
        Double id, count, fail, mean, over, rps, seq, ms;
        Boolean fresh;
    }

    // ---- from proxies and collectors

    public DecodeResult<InboundMessage> decodeInbound(byte[] line, int length) {
        Fields f = new Fields();
        try (JsonParser in = json.createParser(line, 0, length)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                return DecodeResult.failed(Stage.TEXT, "not a JSON object");
            }
            InvalidFieldException first =
                    null; // the rest is read all the same: only what is JSON to its end is a message
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                try {
                    field(f, name, in);
                } catch (InvalidFieldException e) {
                    first = first == null ? e : first;
                    in.skipChildren();
                }
            }
            if (in.nextToken() != null) {
                return DecodeResult.failed(Stage.TEXT, "more than one JSON object on a line");
            }
            if (first != null) {
                return DecodeResult.failed(Stage.FIELDS, first.getMessage());
            }
            if (f.type == null) {
                return DecodeResult.failed(Stage.KIND, "field @type is missing");
            }
            InboundMessage arrival = inboundMessage(f);
            return arrival == null
                    ? DecodeResult.failed(Stage.KIND, "unknown @type '" + shown(f.type) + "'")
                    : new DecodeResult.Decoded<>(arrival);
        } catch (InvalidFieldException e) {
            return DecodeResult.failed(Stage.FIELDS, e.getMessage());
        } catch (IOException e) {
            return DecodeResult.failed(Stage.TEXT, "not JSON");
        }
    }

    private void field(Fields f, String name, JsonParser in) throws IOException, InvalidFieldException {
        switch (name) {
            case "@type" -> f.type = text(name, in);
            case "site" -> f.site = text(name, in);
            case "target" -> f.target = text(name, in);
            case "lane" -> f.lane = text(name, in);
            case "id" -> f.id = number(name, in);
            case "count" -> f.count = number(name, in);
            case "fail" -> f.fail = number(name, in);
            case "mean" -> f.mean = number(name, in);
            case "over" -> f.over = number(name, in);
            case "rps" -> f.rps = number(name, in);
            case "seq" -> f.seq = number(name, in);
            case "ms" -> f.ms = number(name, in);
            case "new" -> f.fresh = truth(name, in);
            default -> in.skipChildren();
        }
    }

    private InboundMessage inboundMessage(Fields f) throws InvalidFieldException {
        return switch (f.type) {
            case "PING" -> new InboundMessage.Ping();
            case "SOURCE" -> new InboundMessage.Collector(zone(f.site));
            case "SUBSCRIBE" ->
                new InboundMessage.Subscribe(
                        proxy(f.id), zone(f.site), from0("rps", f.rps, COUNT_MOST), present("new", f.fresh));
            case "ACK" -> new InboundMessage.Acknowledgement(proxy(f.id), whole("seq", f.seq, 65535), time("ms", f.ms));
            case "LOAD" -> {
                int count = whole("count", f.count, COUNT_MOST);
                int fail = whole("fail", f.fail, count);
                Double mean = fail == count && f.mean == null ? Double.valueOf(0) : f.mean; // there is none of none
                yield new InboundMessage.LoadReport(
                        present("target", f.target), zone(f.site), count, fail, time("mean", mean), span(f.over));
            }
            case "RATE" -> {
                int count = whole("count", f.count, COUNT_MOST);
                whole("fail", f.fail, COUNT_MOST); // those that came in an earlier span may be among them
                yield new InboundMessage.RequestRateReport(
                        proxy(f.id), place("lane", names.operations(), f.lane), count, span(f.over));
            }
            default -> null;
        };
    }

    private int proxy(Double id) throws InvalidFieldException {
        return whole("id", id, names.proxies() - 1);
    }

    private int zone(String site) throws InvalidFieldException {
        return place("site", names.zones(), site); // who lies about it would take the place of a proxy
    }

    private static double time(String field, Double value) throws InvalidFieldException {
        return from0(field, value, LONGEST_MS);
    }

    private static double span(Double over) throws InvalidFieldException {
        if (time("over", over) == 0) {
            throw new InvalidFieldException("field over: nothing is counted over no time");
        }
        return over;
    }

    // ---- from discovery

    /** Reads a list of hosts as its bytes arrive; what the filter does not keep costs nothing. */
    public HostListStream hostListStream(HostListFilter filter) {
        return new HostListStream(hostLists, names, filter);
    }

    public DecodeResult<HostList> decodeHostList(byte[] line, int length) {
        try (HostListStream stream = hostListStream(HostListFilter.NONE)) {
            stream.feed(line, 0, length);
            return stream.end();
        }
    }

    /** A parser under whose bounds a list can be read; it leaves its input open. */
    public JsonParser hostListParser(InputStream in) throws IOException {
        return hostLists.createParser(in).disable(JsonParser.Feature.AUTO_CLOSE_SOURCE);
    }

    /** Reads a list whose opening brace the parser is at, to its closing one, from a parser that waits for its input. */
    public DecodeResult<HostList> decodeHostList(JsonParser in, HostListFilter filter) throws IOException {
        HostListReader reader = new HostListReader(names, filter);
        int depth = 0;
        try {
            do {
                JsonToken token = in.currentToken();
                depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
                reader.accept(in);
            } while (depth > 0 && in.nextToken() != null);
        } catch (StreamConstraintsException e) {
            reader.fail(Stage.TEXT, HostListReader.TOO_LONG);
        }
        reader.fail(Stage.TEXT, "not JSON"); // changes nothing where it is complete
        return reader.result();
    }

    // ---- to proxies

    public static byte[] pong() {
        return PONG.clone();
    }

    public byte[] encode(ConfigurationUpdate order) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = json.createGenerator(bytes)) {
            out.setRootValueSeparator(null);
            for (int i = 0; i < order.parts().size(); i++) {
                part(out, order.parts().get(i), i + 1 < order.parts().size());
                out.writeRaw('\n');
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // memory takes what is written
        }
        return bytes.toByteArray();
    }

    private static void part(JsonGenerator out, ConfigurationUpdate.Part part, boolean continued) throws IOException {
        out.writeStartObject();
        out.writeStringField("@type", "CONFIG");
        if (!part.operations().isEmpty()) {
            names(out, "routes", part.operations());
        }
        if (part.replacesTable()) {
            out.writeBooleanField("full", true);
        }
        if (part.replacesTable() || !part.entries().isEmpty()) {
            out.writeArrayFieldStart("endpoints");
            for (ConfigurationUpdate.TableEntry line : part.entries()) {
                out.writeStartArray();
                out.writeString(line.host());
                figure(out, line.weight());
                out.writeEndArray();
            }
            out.writeEndArray();
        }
        if (part.admission() != null) {
            out.writeFieldName("admit");
            figure(out, part.admission().admissionRatio());
            out.writeNumberField("policy", part.admission().retryPolicyCode());
        }
        if (!part.ejected().isEmpty()) {
            names(out, "eject", part.ejected());
        }
        if (!part.restored().isEmpty()) {
            names(out, "restore", part.restored());
        }
        if (part.nonce() != ConfigurationUpdate.NO_NONCE) {
            out.writeNumberField("nonce_out", part.nonce());
        }
        if (continued) {
            out.writeBooleanField("continued", true);
        }
        out.writeEndObject();
    }

    private static void names(JsonGenerator out, String field, List<String> names) throws IOException {
        out.writeArrayFieldStart(field);
        for (String name : names) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    private static void figure(JsonGenerator out, double value) throws IOException {
        if (value == Math.rint(value) && value < 1e9) {
            out.writeNumber((long) value);
        } else {
            out.writeNumber(Math.round(value * 1e4) / 1e4);
        }
    }
}
