package linenring.protocol;

import java.util.Locale;

/** The reason why a message could not be decoded, with the decoding stage that failed. */
public record DecodeError(Stage stage, String reason) {
    /** The decoding stage that failed; log lines show the constant's name in lower case. */
    public enum Stage {
        /** Parsing failed: the text is not a single JSON object. */
        TEXT,
        /** The message is a JSON object, but its type is missing or unknown. */
        KIND,
        /** The message type is known, but a required field is missing or a field has an invalid value. */
        FIELDS,
        /** The message is valid, but too large for the heap. */
        SIZE
    }

    @Override
    public String toString() {
        return stage.name().toLowerCase(Locale.ROOT) + ": " + reason;
    }
}
