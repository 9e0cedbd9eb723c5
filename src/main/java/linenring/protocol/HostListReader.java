package linenring.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;

/**
 * Builds a host list from JSON tokens, one at a time, so that it does not matter how its bytes come. Only hosts that the
 * filter keeps cost memory. The list is there once its last brace is; a fault ends it, and later tokens change nothing.
 */
final class HostListReader {
    /**
     * An entry has some 150 bytes; several hundred times that leaves room for fields of later releases, and is little beside
     * the smallest heap. What is longer is no list of hosts.
     */
    static final int ENTRY_BYTES_MOST = 64 * 1024;

    static final String TOO_LONG = "an entry of over " + ENTRY_BYTES_MOST + " bytes";

    private enum Place {
        BEFORE,
        LIST,
        ENTRIES,
        ENTRY,
        AFTER
    }

    private final HostListFilter filter;
    private final HostEntryReader entry;
    private Place place = Place.BEFORE;
    private int nested; // depth inside a value that is passed over
    private String field;
    private long entryStart;

    private Double version;
    private Boolean isComplete;
    private List<HostList.Entry> entries;
    private final Set<String> entered =
            new HashSet<>(); // by changes under a scope: one may leave again on the same line
    private final List<String> spoiltReasons = new ArrayList<>();
    private int spoilt, outside, entriesRead;
    private DecodeResult<HostList> result;

    HostListReader(Names names, HostListFilter filter) {
        this.filter = filter;
        this.entry = new HostEntryReader(names, filter.scope());
    }

    /** The list or the fault; null while it is being read. */
    DecodeResult<HostList> result() {
        return result;
    }

    /** How many entries have come to their end, kept or not. */
    int entriesRead() {
        return entriesRead;
    }

    void fail(Stage stage, String reason) {
        if (result == null) {
            result = DecodeResult.failed(stage, reason);
            release();
        }
    }

    /** Whether the entry being read goes on past its bound at this place of the input. */
    boolean exceedsEntry(long byteOffset) {
        return place == Place.ENTRY && byteOffset - entryStart > ENTRY_BYTES_MOST;
    }

    /** Takes the token that the parser is at. */
    void accept(JsonParser in) throws IOException {
        if (result != null) {
            return;
        }
        JsonToken token = in.currentToken();
        boolean marksProgress = token == JsonToken.FIELD_NAME || token == JsonToken.END_OBJECT;
        if (marksProgress && exceedsEntry(in.currentLocation().getByteOffset())) {
            fail(Stage.TEXT, TOO_LONG);
            return;
        }
        if (nested > 0) {
            nested += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            return;
        }
        try {
            switch (place) {
                case BEFORE -> beginList(token);
                case LIST -> listToken(token, in);
                case ENTRIES -> entriesToken(token, in);
                case ENTRY -> entryToken(token, in);
                case AFTER -> {}
            }
        } catch (InvalidFieldException e) {
            fail(Stage.FIELDS, e.getMessage());
        }
    }

    private void beginList(JsonToken token) {
        if (token != JsonToken.START_OBJECT) {
            fail(Stage.TEXT, "not a JSON object");
        }
        place = Place.LIST;
    }

    private void listToken(JsonToken token, JsonParser in) throws IOException, InvalidFieldException {
        if (token == JsonToken.FIELD_NAME) {
            field = in.currentName();
            return;
        }
        if (token == JsonToken.END_OBJECT) {
            endList();
            return;
        }
        switch (field) {
            case "version" -> version = FieldValues.number(field, in);
            case "full" -> isComplete = FieldValues.truth(field, in);
            case "servers" -> {
                if (token != JsonToken.START_ARRAY) {
                    throw new InvalidFieldException("field servers is not a list");
                }
                entries = new ArrayList<>();
                place = Place.ENTRIES;
            }
            default -> passOver(token);
        }
    }

    private void passOver(JsonToken token) {
        nested = token.isStructStart() ? 1 : 0;
    }

    private void entriesToken(JsonToken token, JsonParser in) {
        if (token == JsonToken.END_ARRAY) {
            place = Place.LIST;
        } else if (token == JsonToken.START_OBJECT) {
            entry.begin();
            entryStart = in.currentLocation().getByteOffset();
            place = Place.ENTRY;
        } else {
            passOver(token);
            spoilt("field servers holds what is no object");
        }
    }

    private void entryToken(JsonToken token, JsonParser in) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = in.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            place = Place.ENTRIES;
            entriesRead++;
            endEntry();
        } else {
            entry.field(field, in);
            passOver(token);
        }
    }

    private void endEntry() {
        if (entry.isOutside()) {
            outside++;
            leaves(entry.id());
            return;
        }
        HostList.Entry read;
        try {
            read = entry.end();
        } catch (InvalidFieldException e) {
            spoilt(e.getMessage());
            return;
        }
        if (!filter.scope().isAll() && read.state() == HostList.State.GONE) {
            leaves(read.host());
        } else {
            keep(read);
        }
    }

    private void keep(HostList.Entry read) {
        if (entries.size() == filter.maxHosts()) {
            fail(Stage.SIZE, "over " + filter.maxHosts() + " hosts, which is more than fits the heap");
            return;
        }
        entries.add(read);
        if (mayBeChanges()) {
            entered.add(read.host());
        }
    }

    /** By changes a host leaves that was held, or that came on this very line; a whole list need not say so. */
    private void leaves(String host) {
        if (mayBeChanges()
                && host != null
                && (entered.remove(host) || filter.isHeld().test(host))) {
            entries.add(HostList.Entry.gone(host));
        }
    }

    private boolean mayBeChanges() {
        return !filter.scope().isAll() && !Boolean.TRUE.equals(isComplete);
    }

    private void spoilt(String reason) {
        spoilt++;
        if (spoiltReasons.size() < InvalidEntries.MAX_REASONS) {
            spoiltReasons.add(reason);
        }
    }

    private void endList() throws InvalidFieldException {
        place = Place.AFTER;
        long number = (long) FieldValues.from0("version", version, Long.MAX_VALUE);
        boolean complete = FieldValues.present("full", isComplete);
        List<HostList.Entry> kept = FieldValues.present("servers", entries);
        if (complete && !filter.scope().isAll()) { // told as whole only after its entries: nobody leaves by name
            kept.removeIf(e -> e.state() == HostList.State.GONE);
        }
        result = new DecodeResult.Decoded<>(new HostList(
                number, complete, kept, new InvalidEntries(spoilt, spoiltReasons), filter.scope(), outside));
        release();
    }

    /** What it held to build the list goes with it. */
    private void release() {
        entries = null;
        entered.clear();
    }
}
