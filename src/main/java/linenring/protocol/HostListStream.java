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

/** Incremental decoder of one host list. It neither blocks nor retains the bytes it is given. Not thread-safe. */
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
            throw new UncheckedIOException(impossible); // creating the parser reads no input
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Decodes the next bytes; the array may be reused after the call. Bytes after the end of the list are skipped. */
    public void feed(byte[] bytes, int from, int end) {
        if (reader.isDone() || from == end) {
            return;
        }
        fedBytes += end - from;
        try {
            feeder.feedInput(bytes, from, end);
            acceptTokens();
            if (reader.exceedsEntryLimit(fedBytes)) {
                reader.fail(Stage.TEXT, HostListReader.ENTRY_TOO_LONG);
            }
        } catch (StreamConstraintsException tooLong) {
            reader.fail(Stage.TEXT, HostListReader.ENTRY_TOO_LONG);
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

    /** Returns the decoded list or the error; empty while more bytes are expected. */
    public Optional<DecodeResult<HostList>> result() {
        return reader.result();
    }

    /** Returns the number of entries that were read completely. */
    public int entriesRead() {
        return reader.completedEntries();
    }

    /** Ends the input and returns the decoded list or the error; an incomplete list is an error. */
    public DecodeResult<HostList> end() {
        return reader.end();
    }

    @Override
    public void close() {
        try {
            parser.close();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible); // the parser has no underlying input to close
        }
    }
}
