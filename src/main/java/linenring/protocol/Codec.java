package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import linenring.settings.Names;

/**
 * Decodes what proxies, collectors and discovery send, and encodes what is sent to proxies. Fields that are not known are skipped,
 * so that peers of later releases can be served. Thread-safe.
 */
public final class Codec {
    private static final byte[] PONG = "{\"@type\":\"PONG\"}\n".getBytes(StandardCharsets.US_ASCII);

    private final InboundMessageDecoder inboundMessages;
    private final HostListDecoder hostLists;
    private final ConfigurationUpdateEncoder updates;

    /** Zones, kinds and operations are indices into these names. */
    public Codec(Names names) {
        // NaN is read as a number that is out of range: that is one invalid field, and no reason to give the peer up
        JsonFactory json = JsonFactory.builder()
                .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
                .build();
        inboundMessages = new InboundMessageDecoder(json, names);
        hostLists = new HostListDecoder(names);
        updates = new ConfigurationUpdateEncoder(json);
    }

    /** Decodes one line of a proxy or a collector. */
    public DecodeResult<InboundMessage> decodeInbound(byte[] line, int length) {
        return inboundMessages.decode(line, length);
    }

    /** Decodes a host list as its bytes arrive; entries that the filter does not keep take no memory. */
    public HostListStream hostListStream(HostListFilter filter) {
        return hostLists.stream(filter);
    }

    /** Decodes a host list that is there as one line, of all services. */
    public DecodeResult<HostList> decodeHostList(byte[] line, int length) {
        return hostLists.decode(line, length);
    }

    /** A parser with the limits under which a host list can be decoded; closing it leaves its input open. */
    public JsonParser hostListParser(InputStream input) throws IOException {
        return hostLists.parser(input);
    }

    /** Decodes the host list whose opening brace the parser is at, up to its closing one. */
    public DecodeResult<HostList> decodeHostList(JsonParser parser, HostListFilter filter) throws IOException {
        return hostLists.decode(parser, filter);
    }

    /** The answer to a {@link InboundMessage.Ping}. */
    public static byte[] pong() {
        return PONG.clone();
    }

    /** An update as the lines that a proxy reads. */
    public byte[] encode(ConfigurationUpdate update) {
        return updates.encode(update);
    }
}
