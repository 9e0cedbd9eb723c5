package linenring.protocol;

import java.util.Locale;

/** Why a message could not be decoded, and how far decoding had come. */
public record DecodeError(Stage stage, String reason) {
    /** How far decoding had come; log lines show the name in lower case. */
    public enum Stage {
        /** The text is not one JSON object. */
        TEXT,
        /** It is, but of no known type. */
        KIND,
        /** Its type is known, but a field is missing or has an impossible value. */
        FIELDS,
        /** All of it is valid, but there is more than the heap has room for. */
        SIZE
    }

    @Override
    public String toString() {
        return stage.name().toLowerCase(Locale.ROOT) + ": " + reason;
    }
}
