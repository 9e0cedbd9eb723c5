package linenring.protocol;

import static java.util.Map.entry;
import static linenring.protocol.FieldValues.indexOrNext;
import static linenring.protocol.FieldValues.nonNegative;
import static linenring.protocol.FieldValues.number;
import static linenring.protocol.FieldValues.required;
import static linenring.protocol.FieldValues.text;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import linenring.settings.Names;

/** Reads the fields of a host list entry, in any order. The reader is reused for all entries of the list. */
final class HostEntryReader {
    /** The cell of a host for which the catalogue names none. */
    private static final int UNKNOWN_CELL = -1;

    private static final double DEFAULT_WEIGHT = 1;

    /** Field readers by field name on the wire. */
    private static final Map<String, FieldReader<HostEntryReader>> READERS = Map.ofEntries(
            entry("id", (entry, field, parser) -> entry.host = text(field, parser)),
            entry("service", (entry, field, parser) -> entry.readService(field, parser)),
            entry("addr", (entry, field, parser) -> entry.readAddress(parser)),
            entry("cell", (entry, field, parser) -> entry.readCell(parser)),
            entry("zone", (entry, field, parser) -> entry.zone = text(field, parser)),
            entry("kind", (entry, field, parser) -> entry.kind = text(field, parser)),
            entry("state", (entry, field, parser) -> entry.state = text(field, parser)),
            entry("weight", (entry, field, parser) -> entry.weight = number(field, parser)),
            entry("started_ms", (entry, field, parser) -> entry.startedMs = number(field, parser)));

    private final Names names;
    private final ServiceScope scope;
    private String host;
    private String zone;
    private String kind;
    private String state;
    private String address;
    private Double weight;
    private Double startedMs;
    private Double cell;
    private InvalidFieldException firstInvalid; // the entry is still read to its end, since the next entry may be valid
    private boolean isOutsideScope;

    HostEntryReader(Names names, ServiceScope scope) {
        this.names = names;
        this.scope = scope;
    }

    /** Clears all fields before the next entry. */
    void reset() {
        host = null;
        zone = null;
        kind = null;
        state = null;
        address = null;
        weight = null;
        startedMs = null;
        cell = null;
        firstInvalid = null;
        isOutsideScope = false;
    }

    /** Reads the field's value at the parser's current token, which may be the start of a nested value. */
    void read(String field, JsonParser parser) throws IOException {
        boolean isNeeded = !isOutsideScope || field.equals("id");
        FieldReader<HostEntryReader> reader = READERS.get(field);
        if (reader == null || !isNeeded) {
            return;
        }
        try {
            reader.read(this, field, parser);
        } catch (InvalidFieldException invalid) {
            firstInvalid = firstInvalid == null ? invalid : firstInvalid;
        }
    }

    /** Reads the service name. Without a scope the service is not used, and may be of any type. */
    private void readService(String field, JsonParser parser) throws IOException, InvalidFieldException {
        if (!scope.isAll() && parser.currentToken() != JsonToken.VALUE_NULL) {
            isOutsideScope = !scope.includes(text(field, parser));
        }
    }

    /** Reads the address. Only the gateway needs it, so an entry without a usable address is valid. */
    private void readAddress(JsonParser parser) throws IOException {
        address = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : null;
    }

    /** Reads the cell. Only the gateway needs it, so an entry without a usable cell is valid. */
    private void readCell(JsonParser parser) throws IOException {
        cell = parser.currentToken().isNumeric() ? Double.valueOf(parser.getDoubleValue()) : null;
    }

    /** Returns the host's id, whether the host is in scope or not; empty if the entry has no id. */
    Optional<String> host() {
        return Optional.ofNullable(host);
    }

    /** Whether the entry's service is outside the scope; other invalid fields of such an entry are ignored. */
    boolean isOutsideScope() {
        return isOutsideScope;
    }

    /** Returns the validated entry after all of its fields have been read. */
    HostList.Entry toEntry() throws InvalidFieldException {
        if (firstInvalid != null) {
            throw firstInvalid;
        }
        HostList.State hostState = state();
        boolean isGone = hostState == HostList.State.GONE; // an entry of a removed host needs only the id
        double validStartedMs = startedMs();
        return new HostList.Entry(
                required("id", host),
                isGone && zone == null ? 0 : indexOrNext("zone", names.zones(), zone),
                isGone && kind == null ? 0 : indexOrNext("kind", names.kinds(), kind),
                hostState,
                weight == null ? DEFAULT_WEIGHT : nonNegative("weight", weight, Float.MAX_VALUE),
                validStartedMs,
                address,
                cell());
    }

    private HostList.State state() throws InvalidFieldException {
        return switch (required("state", state)) {
            case "Ready" -> HostList.State.READY;
            case "Terminating" -> HostList.State.TERMINATING;
            case "Gone" -> HostList.State.GONE;
            default -> throw InvalidFieldException.ofValue("state", "unknown '" + FieldValues.abbreviated(state) + "'");
        };
    }

    /** Returns the start time of the host; minus infinity if it is missing or 0, which means long ago. */
    private double startedMs() throws InvalidFieldException {
        double unixMs = startedMs == null ? 0 : nonNegative("started_ms", startedMs, Long.MAX_VALUE);
        return unixMs == 0 ? Double.NEGATIVE_INFINITY : unixMs;
    }

    private int cell() {
        boolean isUsable = cell != null && cell >= 0;
        return isUsable ? cell.intValue() : UNKNOWN_CELL;
    }
}
