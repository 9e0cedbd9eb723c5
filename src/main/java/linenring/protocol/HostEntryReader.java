package linenring.protocol;

import static linenring.protocol.FieldValues.from0;
import static linenring.protocol.FieldValues.grown;
import static linenring.protocol.FieldValues.number;
import static linenring.protocol.FieldValues.present;
import static linenring.protocol.FieldValues.text;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import linenring.settings.Names;

/** The fields of one entry of a host list as they are read, in any order; the same object serves one entry after another. */
final class HostEntryReader {
    private final Names names;
    private final ServiceScope scope;
    private String id, zone, kind, state, address;
    private Double weight, started, cell;
    private InvalidFieldException firstFault; // an entry is read to its end all the same: the next one may be well
    private boolean outside;

    HostEntryReader(Names names, ServiceScope scope) {
        this.names = names;
        this.scope = scope;
    }

    void begin() {
        id = zone = kind = state = address = null;
        weight = started = cell = null;
        firstFault = null;
        outside = false;
    }

    /** Takes the value that the parser is at, which may be the beginning of a nested one. */
    void field(String name, JsonParser in) throws IOException {
        if (outside && !name.equals("id")) {
            return; // nothing else of it is used
        }
        try {
            switch (name) {
                case "id" -> id = text(name, in);
                case "service" -> service(name, in);
                case "addr" -> address = in.currentToken() == JsonToken.VALUE_STRING ? in.getText() : null;
                case "cell" -> cell = in.currentToken().isNumeric() ? Double.valueOf(in.getDoubleValue()) : null;
                case "zone" -> zone = text(name, in);
                case "kind" -> kind = text(name, in);
                case "state" -> state = text(name, in);
                case "weight" -> weight = number(name, in);
                case "started_ms" -> started = number(name, in);
                default -> {}
            }
        } catch (InvalidFieldException e) {
            firstFault = firstFault == null ? e : firstFault;
        }
    }

    /** Without a scope it is passed over as an unknown field is. */
    private void service(String name, JsonParser in) throws IOException, InvalidFieldException {
        if (!scope.isAll() && in.currentToken() != JsonToken.VALUE_NULL) {
            outside = !scope.includes(text(name, in));
        }
    }

    /** The host, in scope or not, or null where none was told. */
    String id() {
        return id;
    }

    /** Whether its service is outside of the scope; what else may be wrong with it does not matter then. */
    boolean isOutside() {
        return outside;
    }

    /** The entry, once all of it is read. */
    HostList.Entry end() throws InvalidFieldException {
        if (firstFault != null) {
            throw firstFault;
        }
        HostList.State is = state();
        boolean gone = is == HostList.State.GONE; // of these no more than the id need be told
        double at = started == null ? 0 : from0("started_ms", started, Long.MAX_VALUE);
        return new HostList.Entry(
                present("id", id),
                gone && zone == null ? 0 : grown("zone", names.zones(), zone),
                gone && kind == null ? 0 : grown("kind", names.kinds(), kind),
                is,
                weight == null ? 1 : from0("weight", weight, Float.MAX_VALUE),
                at == 0 ? Double.NEGATIVE_INFINITY : at,
                address,
                cell == null || !(cell >= 0) ? -1 : cell.intValue()); // only a front needs these two
    }

    private HostList.State state() throws InvalidFieldException {
        return switch (present("state", state)) {
            case "Ready" -> HostList.State.READY;
            case "Terminating" -> HostList.State.TERMINATING;
            case "Gone" -> HostList.State.GONE;
            default -> throw new InvalidFieldException("field state: unknown '" + FieldValues.shown(state) + "'");
        };
    }
}
