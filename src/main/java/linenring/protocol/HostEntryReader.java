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

/** Reads the fields of one entry of a host list, in any order. One reader serves one entry after another. */
final class HostEntryReader {
    /** Stands for a group that the catalogue does not name. */
    private static final int UNKNOWN_CELL = -1;

    private static final double DEFAULT_WEIGHT = 1;

    /** By the name on the wire. */
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
    private InvalidFieldException firstInvalid; // an entry is read to its end all the same: the next one may be valid
    private boolean isOutsideScope;

    HostEntryReader(Names names, ServiceScope scope) {
        this.names = names;
        this.scope = scope;
    }

    /** Begins another entry. */
    void begin() {
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

    /** Takes the value that the parser is at, which may be the beginning of a nested one. */
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

    /** Without a scope the service is not used, and may be of any type. */
    private void readService(String field, JsonParser parser) throws IOException, InvalidFieldException {
        if (!scope.isAll() && parser.currentToken() != JsonToken.VALUE_NULL) {
            isOutsideScope = !scope.includes(text(field, parser));
        }
    }

    /** Only the gateway needs the address: an entry without a usable one is valid. */
    private void readAddress(JsonParser parser) throws IOException {
        address = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : null;
    }

    /** Only the gateway needs the group: an entry without a usable one is valid. */
    private void readCell(JsonParser parser) throws IOException {
        cell = parser.currentToken().isNumeric() ? Double.valueOf(parser.getDoubleValue()) : null;
    }

    /** The host's id, in scope or not; empty where the entry has none. */
    Optional<String> host() {
        return Optional.ofNullable(host);
    }

    /** Whether its service is outside of the scope; what else may be wrong with it does not matter then. */
    boolean isOutsideScope() {
        return isOutsideScope;
    }

    /** The entry, once all of its fields are read. */
    HostList.Entry end() throws InvalidFieldException {
        if (firstInvalid != null) {
            throw firstInvalid;
        }
        HostList.State hostState = state();
        boolean isGone = hostState == HostList.State.GONE; // such an entry needs no more than the id
        double started = startedMs();
        return new HostList.Entry(
                required("id", host),
                isGone && zone == null ? 0 : indexOrNext("zone", names.zones(), zone),
                isGone && kind == null ? 0 : indexOrNext("kind", names.kinds(), kind),
                hostState,
                weight == null ? DEFAULT_WEIGHT : nonNegative("weight", weight, Float.MAX_VALUE),
                started,
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

    /** A start that is missing or 0 was long ago. */
    private double startedMs() throws InvalidFieldException {
        double started = startedMs == null ? 0 : nonNegative("started_ms", startedMs, Long.MAX_VALUE);
        return started == 0 ? Double.NEGATIVE_INFINITY : started;
    }

    private int cell() {
        boolean isUsable = cell != null && cell >= 0;
        return isUsable ? cell.intValue() : UNKNOWN_CELL;
    }
}
