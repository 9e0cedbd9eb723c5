package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import java.io.IOException;
import java.util.Optional;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;

/** Reads one host list from bytes as they arrive, without waiting and without keeping them. For one thread at a time. */
public final class HostListStream implements AutoCloseable {
    private final HostListReader reader;
    private final JsonParser in;
    private final ByteArrayFeeder feeder;
    private long fed;

    HostListStream(JsonFactory json, Names names, HostListFilter filter) {
        reader = new HostListReader(names, filter);
        try {
            in = json.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // nothing is read yet
        }
        feeder = (ByteArrayFeeder) in.getNonBlockingInputFeeder();
    }

    /** Takes further bytes; the array may be used again afterwards. What comes after the list's end is passed over. */
    public void feed(byte[] bytes, int from, int to) {
        if (reader.result() != null || from == to) {
            return;
        }
        fed += to - from;
        try {
            feeder.feedInput(bytes, from, to);
            for (JsonToken token = in.nextToken();
                    token != JsonToken.NOT_AVAILABLE && token != null && reader.result() == null;
                    token = in.nextToken()) {
                reader.accept(in);
            }
            if (reader.result() == null && reader.exceedsEntry(fed)) {
                reader.fail(Stage.TEXT, HostListReader.TOO_LONG);
            }
        } catch (StreamConstraintsException e) {
            reader.fail(Stage.TEXT, HostListReader.TOO_LONG);
        } catch (IOException e) {
            reader.fail(Stage.TEXT, "not JSON");
        }
    }

    /** The list, or why there is none; empty while more of it is expected. */
    public Optional<DecodeResult<HostList>> result() {
        return Optional.ofNullable(reader.result());
    }

    /** How many entries have come to their end. */
    public int entriesRead() {
        return reader.entriesRead();
    }

    /** No more comes: the list, or why there is none. */
    public DecodeResult<HostList> end() {
        reader.fail(Stage.TEXT, "not JSON"); // changes nothing where it is complete
        return reader.result();
    }

    @Override
    public void close() {
        try {
            in.close();
        } catch (IOException e) {
            // nothing is open behind it
        }
    }
}
