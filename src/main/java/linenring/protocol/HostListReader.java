package linenring.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;

/**
 * Builds a host list from JSON tokens, one at a time, so that it does not matter how its bytes arrive. Only hosts that the filter
 * keeps take memory. The list is complete with its closing brace; an error ends it, and later tokens change nothing.
 */
final class HostListReader {
    /**
     * An entry has some 150 bytes; several hundred times that leaves room for fields of later releases, and is little beside
     * the smallest heap. Without a limit one entry that never ends would fill the heap.
     */
    static final int MAX_ENTRY_BYTES = 64 * 1024;

    static final String TOO_LONG = "an entry of over " + MAX_ENTRY_BYTES + " bytes";

    /** Where the next token belongs. */
    private enum Position {
        BEFORE_LIST,
        IN_LIST,
        IN_ENTRIES,
        IN_ENTRY,
        AFTER_LIST
    }

    private final HostListFilter filter;
    private final HostEntryReader entryReader;
    private Position position = Position.BEFORE_LIST;
    private int skippedDepth; // inside a value that is skipped; 0 outside of one
    private String field;
    private long entryStartByte;

    private Double version;
    private Boolean isComplete;
    private List<HostList.Entry> entries;
    /** Hosts that changes under a scope have brought: one may leave again in the same list. */
    private final Set<String> entered = new HashSet<>();

    private final List<String> invalidReasons = new ArrayList<>();
    private int invalidCount;
    private int outsideScopeCount;
    private int entriesRead;
    private DecodeResult<HostList> result; // null while more tokens are expected

    HostListReader(Names names, HostListFilter filter) {
        this.filter = filter;
        this.entryReader = new HostEntryReader(names, filter.scope());
    }

    /** How many levels deeper the parser is after this token. */
    static int depthChange(JsonToken token) {
        if (token.isStructStart()) {
            return 1;
        }
        return token.isStructEnd() ? -1 : 0;
    }

    // ---- the outcome

    boolean isDone() {
        return result != null;
    }

    /** The list or the error; empty while more tokens are expected. */
    Optional<DecodeResult<HostList>> result() {
        return Optional.ofNullable(result);
    }

    /** No more tokens come: the list, or the error that ended it. */
    DecodeResult<HostList> end() {
        fail(Stage.TEXT, "not JSON"); // unless it was complete
        return result;
    }

    /** How many entries have come to their end, kept or not. */
    int entriesRead() {
        return entriesRead;
    }

    /** Ends the list, unless it has ended. */
    void fail(Stage stage, String reason) {
        if (!isDone()) {
            finish(DecodeResult.failed(stage, reason));
        }
    }

    private void finish(DecodeResult<HostList> outcome) {
        result = outcome;
        entries = null; // its memory is the list's, or is free
        entered.clear();
    }

    // ---- tokens

    /** Whether the entry that is being read goes on past its limit at this place of the input. */
    boolean exceedsEntry(long byteOffset) {
        return position == Position.IN_ENTRY && byteOffset - entryStartByte > MAX_ENTRY_BYTES;
    }

    /** Takes the token that the parser is at. */
    void accept(JsonParser parser) throws IOException {
        if (isDone()) {
            return;
        }
        JsonToken token = parser.currentToken();
        boolean marksProgress = token == JsonToken.FIELD_NAME || token == JsonToken.END_OBJECT;
        if (marksProgress && exceedsEntry(parser.currentLocation().getByteOffset())) {
            fail(Stage.TEXT, TOO_LONG);
        } else if (skippedDepth > 0) {
            skippedDepth += depthChange(token);
        } else {
            dispatch(token, parser);
        }
    }

    private void dispatch(JsonToken token, JsonParser parser) throws IOException {
        try {
            switch (position) {
                case BEFORE_LIST -> beginList(token);
                case IN_LIST -> acceptInList(token, parser);
                case IN_ENTRIES -> acceptInEntries(token, parser);
                case IN_ENTRY -> acceptInEntry(token, parser);
                case AFTER_LIST -> {}
            }
        } catch (InvalidFieldException invalid) {
            fail(Stage.FIELDS, invalid.getMessage());
        }
    }

    private void beginList(JsonToken token) {
        if (token != JsonToken.START_OBJECT) {
            fail(Stage.TEXT, "not a JSON object");
        }
        position = Position.IN_LIST;
    }

    private void acceptInList(JsonToken token, JsonParser parser) throws IOException, InvalidFieldException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            endList();
        } else {
            readListField(token, parser);
        }
    }

    private void readListField(JsonToken token, JsonParser parser) throws IOException, InvalidFieldException {
        switch (field) {
            case "version" -> version = FieldValues.number(field, parser);
            case "full" -> isComplete = FieldValues.bool(field, parser);
            case "servers" -> beginEntries(token);
            default -> skip(token);
        }
    }

    private void beginEntries(JsonToken token) throws InvalidFieldException {
        if (token != JsonToken.START_ARRAY) {
            throw InvalidFieldException.ofField("servers", "is not a list");
        }
        entries = new ArrayList<>();
        position = Position.IN_ENTRIES;
    }

    /** Skips the value that begins with this token. */
    private void skip(JsonToken token) {
        skippedDepth = token.isStructStart() ? 1 : 0;
    }

    private void acceptInEntries(JsonToken token, JsonParser parser) {
        if (token == JsonToken.END_ARRAY) {
            position = Position.IN_LIST;
        } else if (token == JsonToken.START_OBJECT) {
            entryReader.begin();
            entryStartByte = parser.currentLocation().getByteOffset();
            position = Position.IN_ENTRY;
        } else {
            skip(token);
            addInvalid("field servers holds what is no object");
        }
    }

    private void acceptInEntry(JsonToken token, JsonParser parser) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            position = Position.IN_ENTRIES;
            entriesRead++;
            endEntry();
        } else {
            entryReader.read(field, parser);
            skip(token);
        }
    }

    // ---- entries

    private void endEntry() {
        if (entryReader.isOutsideScope()) {
            outsideScopeCount++;
            entryReader.host().ifPresent(this::leave);
            return;
        }
        try {
            addEntry(entryReader.end());
        } catch (InvalidFieldException invalid) {
            addInvalid(invalid.getMessage());
        }
    }

    private void addEntry(HostList.Entry entry) {
        if (!filter.scope().isAll() && entry.state() == HostList.State.GONE) {
            leave(entry.host());
        } else {
            keep(entry);
        }
    }

    private void keep(HostList.Entry entry) {
        if (entries.size() == filter.maxHosts()) {
            fail(Stage.SIZE, "over " + filter.maxHosts() + " hosts, which is more than fits the heap");
            return;
        }
        entries.add(entry);
        if (mayBeChanges()) {
            entered.add(entry.host());
        }
    }

    /**
     * By changes a host leaves that is held, or that came earlier in this very list. One that was never held need not be named as
     * gone, nor any by a complete list.
     */
    private void leave(String host) {
        if (mayBeChanges() && (entered.remove(host) || filter.isHeld().test(host))) {
            entries.add(HostList.Entry.gone(host));
        }
    }

    /** Whether it is a list of changes under a scope, as far as is known: its entries may come before it says so. */
    private boolean mayBeChanges() {
        return !filter.scope().isAll() && !Boolean.TRUE.equals(isComplete);
    }

    private void addInvalid(String reason) {
        invalidCount++;
        if (invalidReasons.size() < InvalidEntries.MAX_REASONS) {
            invalidReasons.add(reason);
        }
    }

    private void endList() throws InvalidFieldException {
        position = Position.AFTER_LIST;
        long versionNumber = (long) FieldValues.nonNegative("version", version, Long.MAX_VALUE);
        boolean complete = FieldValues.required("full", isComplete);
        List<HostList.Entry> kept = FieldValues.required("servers", entries);
        if (complete && !filter.scope().isAll()) { // it may have said so only after its entries
            kept.removeIf(entry -> entry.state() == HostList.State.GONE);
        }
        InvalidEntries invalidEntries = new InvalidEntries(invalidCount, invalidReasons);
        finish(new DecodeResult.Decoded<>(
                new HostList(versionNumber, complete, kept, invalidEntries, filter.scope(), outsideScopeCount)));
    }
}
