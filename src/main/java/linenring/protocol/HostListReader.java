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
 * Builds a host list from JSON tokens, one at a time, so that the bytes may arrive in fragments of any size. Only hosts that the
 * filter keeps take memory. Decoding ends with the closing brace of the list or with the first error; later tokens are ignored.
 */
final class HostListReader {
    /**
     * Size limit of one entry. Without a limit an entry that never ends would fill the heap. A typical entry has about 150
     * bytes; a limit several hundred times as large has room for fields of later releases, and is small compared with the
     * smallest heap.
     */
    static final int MAX_ENTRY_BYTES = 64 * 1024;

    static final String ENTRY_TOO_LONG = "an entry exceeds the limit of " + MAX_ENTRY_BYTES + " bytes";

    /** The position of the parser in the structure of the list. */
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
    private int skippedDepth; // nesting depth inside a skipped value; 0 outside
    private String field;
    private long entryStartByte;

    private Double version;
    private Boolean isComplete;
    private List<HostList.Entry> entries;
    /** Hosts that this list has added as changes within a scope; the same list may remove them again. */
    private final Set<String> hostsAddedByChanges = new HashSet<>();

    private final List<String> invalidReasons = new ArrayList<>();
    private int invalidCount;
    private int outsideScopeCount;
    private int completedEntries;
    private DecodeResult<HostList> result; // null while more tokens are expected

    HostListReader(Names names, HostListFilter filter) {
        this.filter = filter;
        this.entryReader = new HostEntryReader(names, filter.scope());
    }

    /** Returns the change of the nesting depth by this token: 1, 0 or -1. */
    static int depthChange(JsonToken token) {
        if (token.isStructStart()) {
            return 1;
        }
        return token.isStructEnd() ? -1 : 0;
    }

    boolean isDone() {
        return result != null;
    }

    /** Returns the decoded list or the error; empty while more tokens are expected. */
    Optional<DecodeResult<HostList>> result() {
        return Optional.ofNullable(result);
    }

    /** Ends the input and returns the decoded list or the error; an incomplete list is an error. */
    DecodeResult<HostList> end() {
        fail(Stage.TEXT, "not JSON"); // has no effect on a list that is already complete
        return result;
    }

    /** Returns the number of entries that were read completely, including skipped entries. */
    int completedEntries() {
        return completedEntries;
    }

    /** Ends decoding with an error, unless decoding has already ended. */
    void fail(Stage stage, String reason) {
        if (!isDone()) {
            finish(DecodeResult.failed(stage, reason));
        }
    }

    private void finish(DecodeResult<HostList> outcome) {
        result = outcome;
        entries = null; // a decoded list owns the entries now; after an error they can be garbage collected
        hostsAddedByChanges.clear();
    }

    /** Whether the current entry exceeds its size limit at this byte offset of the input. */
    boolean exceedsEntryLimit(long byteOffset) {
        return position == Position.IN_ENTRY && byteOffset - entryStartByte > MAX_ENTRY_BYTES;
    }

    /** Processes the parser's current token. */
    void accept(JsonParser parser) throws IOException {
        if (isDone()) {
            return;
        }
        JsonToken token = parser.currentToken();
        boolean isFieldOrObjectEnd = token == JsonToken.FIELD_NAME || token == JsonToken.END_OBJECT;
        if (isFieldOrObjectEnd && exceedsEntryLimit(parser.currentLocation().getByteOffset())) {
            fail(Stage.TEXT, ENTRY_TOO_LONG);
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
            throw InvalidFieldException.ofField("servers", "is not an array");
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
            entryReader.reset();
            entryStartByte = parser.currentLocation().getByteOffset();
            position = Position.IN_ENTRY;
        } else {
            skip(token);
            addInvalid("field servers has an element that is not an object");
        }
    }

    private void acceptInEntry(JsonToken token, JsonParser parser) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            position = Position.IN_ENTRIES;
            completedEntries++;
            endEntry();
        } else {
            entryReader.read(field, parser);
            skip(token);
        }
    }

    private void endEntry() {
        if (entryReader.isOutsideScope()) {
            outsideScopeCount++;
            entryReader.host().ifPresent(this::recordRemoval);
            return;
        }
        try {
            addEntry(entryReader.toEntry());
        } catch (InvalidFieldException invalid) {
            addInvalid(invalid.getMessage());
        }
    }

    private void addEntry(HostList.Entry entry) {
        if (!filter.scope().isAll() && entry.state() == HostList.State.GONE) {
            recordRemoval(entry.host());
        } else {
            addHost(entry);
        }
    }

    private void addHost(HostList.Entry entry) {
        if (entries.size() == filter.maxHosts()) {
            fail(Stage.SIZE, "over " + filter.maxHosts() + " hosts, which is more than fits the heap");
            return;
        }
        entries.add(entry);
        if (mayBeIncremental()) {
            hostsAddedByChanges.add(entry.host());
        }
    }

    /**
     * Records the removal of a host by a list of changes, if the host is in the current list or was added earlier by this list.
     * Other hosts need no removal entry, and neither does any host in a complete list.
     */
    private void recordRemoval(String host) {
        if (mayBeIncremental()
                && (hostsAddedByChanges.remove(host) || filter.isListed().test(host))) {
            entries.add(HostList.Entry.gone(host));
        }
    }

    /** Whether this may be a list of changes within a scope; the field {@code full} that tells may follow after the entries. */
    private boolean mayBeIncremental() {
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
        boolean isCompleteList = FieldValues.required("full", isComplete);
        List<HostList.Entry> keptEntries = FieldValues.required("servers", entries);
        if (isCompleteList && !filter.scope().isAll()) { // the field "full" may follow after the entries
            keptEntries.removeIf(entry -> entry.state() == HostList.State.GONE);
        }
        InvalidEntries invalidEntries = new InvalidEntries(invalidCount, invalidReasons);
        finish(new DecodeResult.Decoded<>(new HostList(
                versionNumber, isCompleteList, keptEntries, invalidEntries, filter.scope(), outsideScopeCount)));
    }
}
