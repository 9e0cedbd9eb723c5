package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import java.io.IOException;
import java.io.InputStream;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;

/** Decodes host lists incrementally from bytes, from a complete line, or from a blocking parser. */
final class HostListDecoder {
    /** Limits the length of each JSON string to the size limit of an entry, so that one string cannot fill the heap. */
    private final JsonFactory json = JsonParsers.factoryBuilder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxStringLength(HostListReader.MAX_ENTRY_BYTES)
                    .build())
            .build();

    private final Names names;

    HostListDecoder(Names names) {
        this.names = names;
    }

    HostListStream stream(HostListFilter filter) {
        return new HostListStream(json, names, filter);
    }

    DecodeResult<HostList> decode(byte[] line, int length) {
        try (HostListStream stream = stream(HostListFilter.NONE)) {
            stream.feed(line, 0, length);
            return stream.end();
        }
    }

    JsonParser parser(InputStream input) throws IOException {
        return json.createParser(input).disable(JsonParser.Feature.AUTO_CLOSE_SOURCE);
    }

    DecodeResult<HostList> decode(JsonParser parser, HostListFilter filter) throws IOException {
        HostListReader reader = new HostListReader(names, filter);
        try {
            acceptObject(parser, reader);
        } catch (StreamConstraintsException tooLong) {
            reader.fail(Stage.TEXT, HostListReader.ENTRY_TOO_LONG);
        }
        return reader.end();
    }

    private static void acceptObject(JsonParser parser, HostListReader reader) throws IOException {
        int depth = 0;
        do {
            JsonToken token = parser.currentToken();
            depth += HostListReader.depthChange(token);
            reader.accept(parser);
        } while (depth > 0 && parser.nextToken() != null);
    }
}
