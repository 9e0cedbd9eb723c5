package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;

/** Decodes one host list from bytes as they arrive, without blocking and without keeping them. For one thread at a time. */
public final class HostListStream implements AutoCloseable {
    private final HostListReader reader;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private long fedBytes;

    HostListStream(JsonFactory json, Names names, HostListFilter filter) {
        reader = new HostListReader(names, filter);
        try {
            parser = json.createNonBlockingByteArrayParser();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // nothing is read yet
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Takes further bytes; the array may be used again afterwards. What comes after the list's end is skipped. */
    public void feed(byte[] bytes, int from, int end) {
        if (reader.isDone() || from == end) {
            return;
        }
        fedBytes += end - from;
        try {
            feeder.feedInput(bytes, from, end);
            acceptTokens();
            if (reader.exceedsEntry(fedBytes)) {
                reader.fail(Stage.TEXT, HostListReader.TOO_LONG);
            }
        } catch (StreamConstraintsException tooLong) {
            reader.fail(Stage.TEXT, HostListReader.TOO_LONG);
        } catch (IOException malformed) {
            reader.fail(Stage.TEXT, "not JSON");
        }
    }

    private void acceptTokens() throws IOException {
        JsonToken token = parser.nextToken();
        while (token != JsonToken.NOT_AVAILABLE && token != null && !reader.isDone()) {
            reader.accept(parser);
            token = parser.nextToken();
        }
    }

    /** The list, or the error that ended it; empty while more of it is expected. */
    public Optional<DecodeResult<HostList>> result() {
        return reader.result();
    }

    /** How many entries have come to their end. */
    public int entriesRead() {
        return reader.entriesRead();
    }

    /** No more bytes come: the list, or the error that ended it. */
    public DecodeResult<HostList> end() {
        return reader.end();
    }

    @Override
    public void close() {
        try {
            parser.close();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // no input is open behind it
        }
    }
}
