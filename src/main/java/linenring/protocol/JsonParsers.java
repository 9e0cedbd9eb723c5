package linenring.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/** The configuration that the JSON parsers of all messages share. */
final class JsonParsers {
    private JsonParsers() {}

    /**
     * Returns a builder of parser factories that keep nothing of the messages they parse. Jackson's cache of field names is off: it
     * is copied for each message that has a new name, so that a peer with ever new names would keep a core busy.
     */
    static JsonFactoryBuilder factoryBuilder() {
        // NaN is parsed as a number that fails the range check: one invalid field instead of malformed JSON
        return (JsonFactoryBuilder) JsonFactory.builder()
                .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS);
    }
}
