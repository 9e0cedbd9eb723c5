package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import linenring.settings.Names;

/**
 * Decodes the messages of proxies, collectors and discovery, and encodes configuration updates for proxies. Unknown fields are
 * skipped, so that peers of later releases can be served. Thread-safe.
 */
public final class Codec {
    private static final byte[] PONG = "{\"@type\":\"PONG\"}\n".getBytes(StandardCharsets.US_ASCII);

    private final InboundMessageDecoder inboundDecoder;
    private final HostListDecoder hostListDecoder;
    private final ConfigurationUpdateEncoder updateEncoder;

    /** Creates a codec whose decoded messages refer to zones, kinds and operations by their indices in these names. */
    public Codec(Names names) {
        JsonFactory json = JsonParsers.factoryBuilder().build();
        inboundDecoder = new InboundMessageDecoder(json, names);
        hostListDecoder = new HostListDecoder(names);
        updateEncoder = new ConfigurationUpdateEncoder(json);
    }

    /** Decodes one line that a proxy or a collector sent. */
    public DecodeResult<InboundMessage> decodeInbound(byte[] line, int length) {
        return inboundDecoder.decode(line, length);
    }

    /** Returns an incremental decoder of one host list; entries that the filter rejects take no memory. */
    public HostListStream hostListStream(HostListFilter filter) {
        return hostListDecoder.stream(filter);
    }

    /** Decodes a host list that has arrived completely as one line, without a filter. */
    public DecodeResult<HostList> decodeHostList(byte[] line, int length) {
        return hostListDecoder.decode(line, length);
    }

    /** Returns a JSON parser with the size limits of host lists; closing the parser leaves its input open. */
    public JsonParser hostListParser(InputStream input) throws IOException {
        return hostListDecoder.parser(input);
    }

    /** Decodes a host list from its opening brace, which is the parser's current token, to its closing brace. */
    public DecodeResult<HostList> decodeHostList(JsonParser parser, HostListFilter filter) throws IOException {
        return hostListDecoder.decode(parser, filter);
    }

    /** Returns the encoded answer to a {@link InboundMessage.Ping}. */
    public static byte[] pong() {
        return PONG.clone();
    }

    /** Encodes an update as the lines that a proxy reads, one for each part. */
    public byte[] encode(ConfigurationUpdate update) {
        return updateEncoder.encode(update);
    }
}
